package org.cicadahead.entry;

import org.cicadahead.protocol.RunEnd;

/** Collects the answer of one run. Not safe for use by several threads. */
interface ResponseCollector {

    /**
     * Takes a chunk.
     *
     * @param data the bytes
     * @return the bytes to relay to the caller at once, or empty bytes
     * @throws InvalidResponseException if the answer cannot be used
     */
    byte[] accept(byte[] data) throws InvalidResponseException;

    /**
     * Returns the answer as it is recorded and replayed.
     *
     * @param end the end of the run
     * @return the answer
     * @throws InvalidResponseException if the answer is not complete
     */
    RecordedResponse finish(RunEnd end) throws InvalidResponseException;

    /** Returns the bytes collected so far. */
    long bytes();
}
