package org.cicadahead.site;

/**
 * The properties of the model engines of a service. Immutable.
 *
 * @param slots the number of requests that an engine runs at once
 * @param cacheTokens the capacity of an engine's cache in tokens
 * @param tokensPerEvent the number of tokens in one event of a stream
 * @param maxPinMillis the longest time for which a request may pin its tokens in the cache after it completed, in
 *     milliseconds; 0 if engines do not support pinning
 */
public record EngineTraits(int slots, long cacheTokens, int tokensPerEvent, long maxPinMillis) {}
