package org.cicadahead.daemon;

/**
 * Thrown when settings cannot be read or are not valid. The message names the file or field; for a rejected field it
 * also names the line and the expected value.
 */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the message for operators
     * @param cause the cause, or null
     */
    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
