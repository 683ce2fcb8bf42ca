package org.cicadahead.endpoint;

import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;

/** The engine or service of this endpoint. Thread-safe; no method blocks. */
interface Backend {

    /** Receives the response to one run. Calls do not overlap. */
    interface Sink {
        /**
         * Receives a part of the response.
         *
         * @param data the bytes
         * @param events the number of events, or 0 if the response is not a stream
         * @return how long to pause before more data is read, in milliseconds
         */
        long data(byte[] data, int events);

        /**
         * Receives the end of a complete response. This is the last call.
         *
         * @param status the HTTP status
         * @param contentType the content type, or null
         * @param usage the token usage, or null if none was reported
         */
        void ended(int status, String contentType, Usage usage);

        /**
         * Receives the failure of the run. This is the last call.
         *
         * @param failure the kind of the failure
         * @param message the description, which is sent to the entry
         */
        void failed(Failure failure, String message);
    }

    /** The kinds of failures of a run. */
    enum Failure {
        /** The request could not be sent. */
        NOT_SENT,
        /** The request is malformed and was not sent. */
        MALFORMED,
        /** The connection was lost after the request was sent, for example because the engine crashed. */
        BROKEN,
        /** No complete response arrived before the timeout. */
        TIMEOUT
    }

    /**
     * Runs a request once.
     *
     * @param request the request without its body
     * @param body the body
     * @param timeoutMillis the timeout of the run, in milliseconds
     * @param sink receives the response
     * @return an action that cancels the run, or does nothing if the backend cannot cancel runs
     */
    Runnable run(RunRequest request, byte[] body, long timeoutMillis, Sink sink);

    /** Returns whether the engine or service responds. */
    boolean isAvailable();

    /** Returns the number of tokens in the engine's cache according to its last status. */
    long cachedTokens();

    /** Checks the state of the engine or service. Called every few hundred milliseconds. */
    void tick();

    /** Checks the state immediately. Called after the connection of a run was lost. */
    void probe();
}
