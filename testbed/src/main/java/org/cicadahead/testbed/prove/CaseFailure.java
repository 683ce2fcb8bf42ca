package org.cicadahead.testbed.prove;

/** A case found that a property does not hold. */
final class CaseFailure extends Exception {
    private static final long serialVersionUID = 1L;

    CaseFailure(String message) {
        super(message);
    }

    /** Fails the case unless a condition holds. */
    static void unless(boolean holds, String format, Object... arguments) throws CaseFailure {
        if (!holds) {
            throw new CaseFailure(String.format(format, arguments));
        }
    }
}
