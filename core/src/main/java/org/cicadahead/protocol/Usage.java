package org.cicadahead.protocol;

/**
 * Tokens of a run. Immutable.
 *
 * @param promptTokens prompt tokens
 * @param cachedTokens prompt tokens that the engine had in its cache
 * @param completionTokens generated tokens
 */
public record Usage(long promptTokens, long cachedTokens, long completionTokens) {}
