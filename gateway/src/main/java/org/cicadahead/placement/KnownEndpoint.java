package org.cicadahead.placement;

import org.cicadahead.fleet.EndpointRecord;

/** An endpoint with what this entry has seen of it. Owned by {@link EndpointRoster}. */
public final class KnownEndpoint {
    /** An endpoint that fails is left out for this time at first, in milliseconds; it doubles with each failure. */
    static final long EJECT_MILLIS = 500;
    /** The longest time for which a failing endpoint is left out, in milliseconds. */
    static final long MAX_EJECT_MILLIS = 8_000;
    /** After a rejection for want of room an endpoint is avoided for this time, in milliseconds: about half a run. */
    static final long FULL_MILLIS = 60;

    private static final int MAX_DOUBLINGS = 4;

    private EndpointRecord record;
    private long aliveMillis;
    private int inFlight;
    private int failures;
    private long ejectedUntilMillis;
    private long fullUntilMillis;

    KnownEndpoint(EndpointRecord record, long nowMillis) {
        this.record = record;
        this.aliveMillis = nowMillis;
        this.ejectedUntilMillis = Long.MIN_VALUE;
        this.fullUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Returns its last report.
     *
     * @return the report
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

    void begun() {
        inFlight++;
    }

    void ended() {
        inFlight--;
    }

    void succeeded() {
        failures = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
    }

    void failed(long nowMillis) {
        long out = Math.min(MAX_EJECT_MILLIS, EJECT_MILLIS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        ejectedUntilMillis = nowMillis + out;
    }

    void full(long nowMillis) {
        fullUntilMillis = nowMillis + FULL_MILLIS;
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    boolean isFull(long nowMillis) {
        return nowMillis < fullUntilMillis;
    }
}
