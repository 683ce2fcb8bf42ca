package org.cicadahead.engine;

import org.cicadahead.protocol.Usage;

/** Is told the answer of an engine, one call at a time. An implementation must not block. */
public interface EngineListener {

    /**
     * Takes part of the answer: whole events of a stream, or the whole body otherwise.
     *
     * @param data the bytes
     * @param events how many events they are; 0 if the answer is not a stream
     * @return how long to wait before more is read, in milliseconds
     */
    long data(byte[] data, int events);

    /**
     * Takes the end of a complete answer. Nothing follows.
     *
     * @param status the HTTP status
     * @param contentType the content type
     * @param usage the tokens, or null if the engine reported none
     */
    void ended(int status, String contentType, Usage usage);

    /**
     * Takes the failure of the run. Nothing follows.
     *
     * @param cause why it failed
     */
    void failed(EngineException cause);

    /** Is told that a broken stream is resumed. */
    default void resumed() {}
}
