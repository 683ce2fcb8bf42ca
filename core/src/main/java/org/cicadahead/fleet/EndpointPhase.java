package org.cicadahead.fleet;

/** What an endpoint says of itself. */
public enum EndpointPhase {
    /** It takes requests. */
    READY,
    /** It leaves and takes no new requests. */
    DRAINING,
    /** It has left. */
    GONE;

    /**
     * Returns whether new requests may be sent to it.
     *
     * @return true if it is ready
     */
    public boolean takesRequests() {
        return this == READY;
    }

    /**
     * Returns the later of two phases of one incarnation, as an endpoint that leaves does not come back.
     *
     * @param other the other phase
     * @return the later one
     */
    public EndpointPhase later(EndpointPhase other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
