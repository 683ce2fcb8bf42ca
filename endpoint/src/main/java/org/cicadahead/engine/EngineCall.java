package org.cicadahead.engine;

/** A run on an engine. Thread-safe. */
public interface EngineCall {

    /** Cancels the run on the engine. The listener is not called any more. Later calls do nothing. */
    void cancel();

    /**
     * Aborts the run, for example because the engine hangs. The failure is reported to the listener.
     *
     * @param reason the reason, which becomes the message of the failure
     */
    void abort(String reason);

    /**
     * Returns when data was last received from the engine.
     *
     * @return the time in {@link System#nanoTime()} terms
     */
    long lastProgressNanos();
}
