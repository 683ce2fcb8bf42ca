package org.cicadahead.engine;

import org.cicadahead.protocol.Usage;

/** Receives the response of an engine. Calls do not overlap. An implementation must not block. */
public interface EngineListener {

    /**
     * Receives a part of the response: one or more complete events if it is a stream, else the complete body.
     *
     * @param data the bytes
     * @param events the number of events; 0 if the response is not a stream
     * @return how long to pause before more data is read, in milliseconds
     */
    long data(byte[] data, int events);

    /**
     * Receives the end of a complete response. This is the last call.
     *
     * @param status the HTTP status
     * @param contentType the content type
     * @param usage the token usage, or null if the engine reported none
     */
    void ended(int status, String contentType, Usage usage);

    /**
     * Receives the failure of the run. This is the last call.
     *
     * @param cause the failure
     */
    void failed(EngineException cause);

    /** Called when a stream is resumed after a lost connection. */
    default void resumed() {}
}
