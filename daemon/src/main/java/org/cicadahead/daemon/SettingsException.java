package org.cicadahead.daemon;

/** A settings file cannot be used. The message names the file, the line, the field and what was expected. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message a sentence for operators
     * @param cause the cause, or null
     */
    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
