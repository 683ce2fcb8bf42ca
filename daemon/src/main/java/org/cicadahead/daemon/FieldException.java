package org.cicadahead.daemon;

/** Thrown when a settings field is missing or not valid. {@link SettingsReader} adds the file, line and section. */
final class FieldException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String field;

    FieldException(String field, String expected) {
        super(expected);
        this.field = field;
    }

    String field() {
        return field;
    }
}
