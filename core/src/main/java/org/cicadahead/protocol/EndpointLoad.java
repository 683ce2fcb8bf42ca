package org.cicadahead.protocol;

/**
 * The load of an endpoint as its daemon sees it. Immutable.
 *
 * @param queued requests that wait
 * @param running requests that the engine runs
 * @param queuedTokens estimated tokens of the waiting requests
 * @param runningTokens estimated tokens still to come of the running requests
 * @param cachedTokens tokens held in the engine cache
 * @param capacity how many requests the endpoint runs at once
 */
public record EndpointLoad(
        int queued, int running, long queuedTokens, long runningTokens, long cachedTokens, int capacity) {}
