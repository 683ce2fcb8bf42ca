package org.cicadahead.placement;

import org.cicadahead.fleet.EndpointRecord;

/**
 * An endpoint with what this entry has seen of it. Not safe for use by several threads; {@link EndpointRegistry} makes it
 * and keeps its heartbeat.
 */
public final class KnownEndpoint {
    /** An endpoint that fails is left out for this time at first, in milliseconds; it doubles with each failure. */
    static final long EJECT_MILLIS = 500;
    /** The longest time for which a failing endpoint is left out, in milliseconds. */
    static final long MAX_EJECT_MILLIS = 8_000;
    /** After a rejection for want of room an endpoint is avoided for this time, in milliseconds: about half a run. */
    static final long FULL_MILLIS = 60;

    private static final int MAX_DOUBLINGS = 4;
    /** The weight of a new sample of the pace; about the last five requests count. */
    private static final double PACE_GAIN = 0.2;
    /** Without samples the pace goes back to that of others over this time, in milliseconds, so that it is tried. */
    private static final double PACE_MEMORY_MILLIS = 1_500;
    /** The paces that are believed; one request may be many times as long as the mean by itself. */
    private static final double MAX_PACE = 8;

    private EndpointRecord record;
    private long aliveMillis;
    private int inFlight;
    private int failures;
    private long ejectedUntilMillis;
    private long fullUntilMillis;
    private double pace = 1;
    private long pacedMillis;

    KnownEndpoint(EndpointRecord record, long nowMillis) {
        this.record = record;
        this.aliveMillis = nowMillis;
        this.ejectedUntilMillis = Long.MIN_VALUE;
        this.fullUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Returns its last heartbeat.
     *
     * @return the heartbeat
     */
    public EndpointRecord record() {
        return record;
    }

    /**
     * Returns how many requests of this entry it runs.
     *
     * @return the number
     */
    public int inFlight() {
        return inFlight;
    }

    void record(EndpointRecord next) {
        record = next;
    }

    void alive(long nowMillis) {
        aliveMillis = Math.max(aliveMillis, nowMillis);
    }

    long aliveMillis() {
        return aliveMillis;
    }

    /** Counts a request as in flight. */
    public void begun() {
        inFlight++;
    }

    /** Counts a request as ended. */
    public void ended() {
        inFlight--;
    }

    /** Takes note that the endpoint has answered. */
    public void succeeded() {
        failures = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Takes the time that a request took.
     *
     * @param sample the time in parts of the mean of requests of its kind
     * @param nowMillis monotonic time in milliseconds
     */
    public void paced(double sample, long nowMillis) {
        double before = pace(nowMillis);
        pace = before + PACE_GAIN * (Math.min(MAX_PACE, sample) - before);
        pacedMillis = nowMillis;
    }

    /** Returns how slow the endpoint is; 1 for one like the others. */
    double pace(long nowMillis) {
        return 1 + (pace - 1) * Math.exp(-Math.max(0, nowMillis - pacedMillis) / PACE_MEMORY_MILLIS);
    }

    /**
     * Takes note that the endpoint did not answer, so that it is left out for a while.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void failed(long nowMillis) {
        long out = Math.min(MAX_EJECT_MILLIS, EJECT_MILLIS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        ejectedUntilMillis = nowMillis + out;
    }

    /**
     * Takes note that the endpoint had no room.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void full(long nowMillis) {
        fullUntilMillis = nowMillis + FULL_MILLIS;
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    boolean isFull(long nowMillis) {
        return nowMillis < fullUntilMillis;
    }
}
