package org.cicadahead.protocol;

import org.cicadahead.model.RunId;

/**
 * A part of the response body of a run.
 *
 * @param run the run
 * @param sequence the sequence number of the chunk within the run, starting at 0
 * @param data the bytes of the response body; for streams, complete server-sent events
 */
public record RunChunk(RunId run, long sequence, byte[] data) implements Message {}
