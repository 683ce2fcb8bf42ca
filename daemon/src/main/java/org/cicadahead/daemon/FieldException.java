package org.cicadahead.daemon;

/** A settings field has a value that is out of range. The reader adds the section, the file and the line. */
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
