package org.cicadahead.protocol;

/** What became of an edit. */
public enum EditOutcome {
    /** The edit is committed. */
    ACCEPTED(true),
    /** The edit was based on another revision. */
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
     * @return true if so
     */
    public boolean accepted() {
        return accepted;
    }
}
