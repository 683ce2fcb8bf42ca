package org.cicadahead.fleet;

/** The phase of the life of an endpoint, as the endpoint reports it. */
public enum EndpointPhase {
    /** The endpoint accepts requests. */
    READY,
    /** The endpoint finishes its requests and accepts no new ones. */
    DRAINING,
    /** The endpoint has terminated or was removed. */
    GONE;

    /**
     * Returns whether new requests may be sent to the endpoint.
     *
     * @return true if the endpoint is ready
     */
    public boolean takesRequests() {
        return this == READY;
    }

    /**
     * Returns the later of two phases of one incarnation. Phases only advance: an endpoint that drains never becomes
     * ready again.
     *
     * @param other the other phase
     * @return the later phase
     */
    public EndpointPhase later(EndpointPhase other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
