package org.cicadahead.engine;

/** A run on an engine. Thread-safe. */
public interface EngineCall {

    /** Cancels the run on the engine. The listener is not called any more. Cancelling again has no effect. */
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
     * @return the time as a value of {@link System#nanoTime()}
     */
    long lastProgressNanos();
}
