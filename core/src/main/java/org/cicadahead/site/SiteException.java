package org.cicadahead.site;

/** A configuration that is not valid. */
public final class SiteException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message what is wrong, for the operator
     */
    public SiteException(String message) {
        super(message);
    }
}
