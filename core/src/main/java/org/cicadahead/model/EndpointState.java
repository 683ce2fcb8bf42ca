package org.cicadahead.model;

/** Whether an endpoint accepts new requests. */
public enum EndpointState {
    /** Accepts new requests. */
    READY(true),
    /** Drains: finishes its requests and accepts no new ones. */
    LEAVING(false),
    /** The engine or service behind the endpoint does not respond at present. */
    UNAVAILABLE(false);

    private final boolean acceptsWork;

    EndpointState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /**
     * Returns whether new requests may be sent to the endpoint.
     *
     * @return true if it may
     */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
