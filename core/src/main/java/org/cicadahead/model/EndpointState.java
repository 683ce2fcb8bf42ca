package org.cicadahead.model;

/** Whether an endpoint takes new work. */
public enum EndpointState {
    /** Takes new work. */
    READY(true),
    /** Finishes what it has and takes no new work. */
    LEAVING(false),
    /** Its engine or service does not answer at the moment. */
    UNAVAILABLE(false);

    private final boolean acceptsWork;

    EndpointState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /**
     * Returns whether new work may be sent.
     *
     * @return true if it may
     */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
