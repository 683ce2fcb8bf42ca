package org.cicadahead.engine;

/** A run on an engine. Safe for use by several threads. */
public interface EngineCall {

    /** Cancels the run on the engine; its listener is told nothing more. Later calls do nothing. */
    void cancel();

    /**
     * Gives the run up, for example because the engine hangs; its listener is told that it failed.
     *
     * @param text why, for logs
     */
    void giveUp(String text);

    /**
     * Returns when the engine last sent something.
     *
     * @return the time in {@link System#nanoTime()} terms
     */
    long lastProgressNanos();
}
