package org.cicadahead.protocol;

import org.cicadahead.model.RunId;

/**
 * Part of the answer to a run.
 *
 * @param run the run
 * @param sequence counts the chunks of the run from 0
 * @param data the bytes of the answer body; for streams whole server-sent events
 */
public record RunChunk(RunId run, long sequence, byte[] data) implements Message {}
