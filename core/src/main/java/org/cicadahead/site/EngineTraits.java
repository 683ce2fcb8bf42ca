package org.cicadahead.site;

/**
 * What is known of the model engines of a service. Immutable.
 *
 * @param slots how many requests an engine runs at once
 * @param cacheTokens the tokens that an engine's memory holds
 * @param tokensPerEvent how many tokens an event of a stream holds
 * @param maxPinMillis the longest time for which a request may keep its tokens in memory after it ran, in milliseconds;
 *     0 if engines do not pin
 */
public record EngineTraits(int slots, long cacheTokens, int tokensPerEvent, long maxPinMillis) {}
