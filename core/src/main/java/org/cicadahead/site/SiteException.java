package org.cicadahead.site;

/** Thrown when a configuration is not valid. */
public final class SiteException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message the violated rule, for the operator
     */
    public SiteException(String message) {
        super(message);
    }
}
