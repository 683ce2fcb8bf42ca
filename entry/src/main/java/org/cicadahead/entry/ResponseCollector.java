package org.cicadahead.entry;

import org.cicadahead.protocol.RunEnd;

/** Collects the response of one run from its chunks. Not thread-safe. */
interface ResponseCollector {

    /**
     * Adds a chunk.
     *
     * @param data the bytes of the chunk
     * @return the bytes to relay to the caller immediately; may be empty
     * @throws InvalidResponseException if the response is not usable
     */
    byte[] accept(byte[] data) throws InvalidResponseException;

    /**
     * Returns the complete response in the form that is recorded and replayed.
     *
     * @param end the end of the run
     * @return the response
     * @throws InvalidResponseException if the response is incomplete
     */
    RecordedResponse finish(RunEnd end) throws InvalidResponseException;

    /** Returns the number of bytes collected so far. */
    long bytes();
}
