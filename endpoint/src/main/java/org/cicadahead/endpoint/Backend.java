package org.cicadahead.endpoint;

import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;

/** The engine or service of this endpoint. Safe for use by several threads; nothing here blocks. */
interface Backend {

    /** Takes the answer to one run, one call at a time. */
    interface Sink {
        /**
         * Takes part of the answer.
         *
         * @param data the bytes
         * @param events how many events they are, or 0
         * @return how long to wait before more is read, in milliseconds
         */
        long data(byte[] data, int events);

        void ended(int status, String contentType, Usage usage);

        void failed(Failure failure, String text);
    }

    /** How a run failed. */
    enum Failure {
        /** The request certainly did not arrive. */
        NOT_SENT,
        /** The request could not be understood before it was sent. */
        MALFORMED,
        /** The connection was lost after the request was sent, as in a crash. */
        BROKEN,
        /** No answer came in time. */
        TIMEOUT
    }

    /**
     * Runs a request once.
     *
     * @param request the request without its body
     * @param body the body
     * @param leftMillis after this time, in milliseconds, the run is given up
     * @param sink takes the answer
     * @return what cancels the run
     */
    Runnable run(RunRequest request, byte[] body, long leftMillis, Sink sink);

    /** Returns whether the engine or service answers. */
    boolean isAvailable();

    /** Returns the tokens in the engine cache by its last report. */
    long cachedTokens();

    /** Looks after the engine or service; called every few hundred milliseconds. */
    void tick();

    /** Asks at once for the state after a run broke. */
    void probe();
}
