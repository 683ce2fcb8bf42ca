package org.cicadahead.storage;

/** The files of a replica cannot be read or written. The replica must stop. */
public final class StorageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** What is wrong. */
    public enum Kind {
        /** A file is missing or its content is not what was written. */
        CORRUPT,
        /** There is no space left on the disk. Nothing of the failed write counts as written. */
        FULL,
        /** The operating system reports another error. */
        FAILED
    }

    /**
     * Creates an exception.
     *
     * @param kind what is wrong
     * @param message a sentence for operators
     * @param cause the cause, or null
     */
    public StorageException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /**
     * Returns what is wrong.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }
}
