package org.cicadahead.protocol;

/**
 * The token counts of a run. Immutable.
 *
 * @param promptTokens prompt tokens
 * @param cachedTokens prompt tokens that the engine found in its cache
 * @param completionTokens generated tokens
 */
public record Usage(long promptTokens, long cachedTokens, long completionTokens) {}
