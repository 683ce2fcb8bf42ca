package org.cicadahead.gateway;

/**
 * A part of a prompt that requests may share. Immutable.
 *
 * @param id what tells it apart
 * @param tokens its length in tokens
 */
public record PromptPart(String id, long tokens) {}
