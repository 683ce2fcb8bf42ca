package org.cicadahead.model;

/** The kind of back end that an endpoint daemon serves. */
public enum EndpointKind {
    /** A model engine, which has a prefix cache and can stream its answers. */
    ENGINE(true),
    /** A plain HTTP service. */
    SERVICE(false);

    private final boolean cachesPrefixes;

    EndpointKind(boolean cachesPrefixes) {
        this.cachesPrefixes = cachesPrefixes;
    }

    /**
     * Returns whether the endpoint caches prompt prefixes.
     *
     * @return true for engines
     */
    public boolean cachesPrefixes() {
        return cachesPrefixes;
    }
}
