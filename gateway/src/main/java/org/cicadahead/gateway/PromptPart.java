package org.cicadahead.gateway;

/**
 * A part of a prompt that several requests may share. Immutable.
 *
 * @param id the id of the part; requests with the same part send the same id
 * @param tokens the length in tokens
 */
public record PromptPart(String id, long tokens) {}
