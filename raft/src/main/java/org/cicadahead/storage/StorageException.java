package org.cicadahead.storage;

/** Thrown when the files of a replica cannot be read or written. The replica must stop. */
public final class StorageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** The kind of a storage failure. */
    public enum Kind {
        /** A file is missing, or its content differs from what was written. */
        CORRUPT,
        /** The disk is full. No part of the failed write counts as written. */
        FULL,
        /** Any other failure, such as an I/O error reported by the operating system. */
        FAILED
    }

    /**
     * Creates an exception.
     *
     * @param kind the kind of the failure
     * @param message a description for operators
     * @param cause the cause, or null
     */
    public StorageException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /**
     * Returns the kind of the failure.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }
}
