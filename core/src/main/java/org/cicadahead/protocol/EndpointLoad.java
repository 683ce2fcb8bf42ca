package org.cicadahead.protocol;

/**
 * The load of an endpoint as measured by its daemon. Immutable.
 *
 * @param queued the number of waiting requests
 * @param running the number of requests that the engine runs
 * @param queuedTokens estimated tokens of the waiting requests
 * @param runningTokens estimated remaining tokens of the running requests
 * @param cachedTokens tokens held in the engine cache
 * @param capacity how many requests the endpoint runs at once
 */
public record EndpointLoad(
        int queued, int running, long queuedTokens, long runningTokens, long cachedTokens, int capacity) {}
