package org.cicadahead.gateway;

/**
 * A part of a prompt that several requests may share. Immutable.
 *
 * @param id identifies the part
 * @param tokens the length in tokens
 */
public record PromptPart(String id, long tokens) {}
