package org.cicadahead.model;

/** What stands behind an endpoint daemon. */
public enum EndpointKind {
    /** A model engine with a prefix cache and streaming answers. */
    ENGINE(true),
    /** A plain HTTP service. */
    SERVICE(false);

    private final boolean cachesPrefixes;

    EndpointKind(boolean cachesPrefixes) {
        this.cachesPrefixes = cachesPrefixes;
    }

    /**
     * Returns whether the endpoint keeps prompt prefixes in memory.
     *
     * @return true for engines
     */
    public boolean cachesPrefixes() {
        return cachesPrefixes;
    }
}
