package org.cicadahead.protocol;

/** The result of an edit. */
public enum EditOutcome {
    /** The edit is committed. */
    ACCEPTED(true),
    /** The edit was based on an outdated revision. */
    CONFLICT(false),
    /** The resource to delete does not exist. */
    NOT_FOUND(false),
    /** The resource is not valid. */
    INVALID(false);

    private final boolean accepted;

    EditOutcome(boolean accepted) {
        this.accepted = accepted;
    }

    /**
     * Returns whether the edit took effect.
     *
     * @return true if the edit took effect
     */
    public boolean accepted() {
        return accepted;
    }
}
