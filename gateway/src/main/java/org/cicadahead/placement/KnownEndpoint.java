package org.cicadahead.placement;

import java.util.OptionalDouble;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;

/**
 * An endpoint and the state that this entry has observed of it. Not thread-safe. {@link EndpointRegistry} creates it
 * and updates its heartbeat.
 */
public final class KnownEndpoint {
    /** The first ejection time of a failing endpoint, in milliseconds; doubles with each consecutive failure. */
    static final long BASE_EJECTION_MILLIS = 500;
    /** The maximum ejection time of a failing endpoint, in milliseconds. */
    static final long MAX_EJECTION_MILLIS = 8_000;
    /**
     * The time to avoid an endpoint that rejected a request as full, in milliseconds: about half the duration of a run.
     */
    static final long REJECTION_BACKOFF_MILLIS = 60;

    private static final int MAX_DOUBLINGS = 4;
    /** The weight of a new latency sample; the smoothed ratio covers about the last five requests. */
    private static final double LATENCY_SMOOTHING = 0.2;
    /**
     * The time constant with which the latency ratio decays to 1 without samples, so that a slow endpoint is retried.
     */
    private static final double LATENCY_DECAY_MILLIS = 1_500;
    /**
     * The maximum of a latency sample; limits the effect of single requests that take many times the mean, which occur
     * at any endpoint.
     */
    private static final double MAX_LATENCY_RATIO = 8;

    private EndpointRecord record;
    private long lastHeartbeatMillis;
    private int inFlight;
    private int failures;
    private long ejectedUntilMillis;
    private long avoidedUntilMillis;
    private double latencyRatio = 1;
    private long sampledMillis;
    private EndpointLimit limit;
    private long limitStatedMillis;
    private long departureStatedWallMillis = Long.MIN_VALUE;

    KnownEndpoint(EndpointRecord record, long nowMillis) {
        this.record = record;
        this.lastHeartbeatMillis = nowMillis;
        this.ejectedUntilMillis = Long.MIN_VALUE;
        this.avoidedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Returns the last heartbeat.
     *
     * @return the heartbeat
     */
    public EndpointRecord record() {
        return record;
    }

    /**
     * Returns the number of requests that this entry has in flight at the endpoint.
     *
     * @return the number of requests
     */
    public int inFlight() {
        return inFlight;
    }

    void record(EndpointRecord next) {
        record = next;
    }

    /** Records that the endpoint has stated that it is leaving, at a time in milliseconds since the epoch. */
    void recordDepartureStatement(long wallMillis) {
        departureStatedWallMillis = wallMillis;
        record = record.withPhase(record.phase().later(EndpointPhase.DRAINING));
    }

    long departureStatedWallMillis() {
        return departureStatedWallMillis;
    }

    /** Returns whether the statement that the endpoint is leaving was made after an incarnation had started. */
    boolean hasStatedDeparture(long bornMillis) {
        return bornMillis <= departureStatedWallMillis;
    }

    void refresh(long nowMillis) {
        lastHeartbeatMillis = Math.max(lastHeartbeatMillis, nowMillis);
    }

    long lastHeartbeatMillis() {
        return lastHeartbeatMillis;
    }

    /**
     * Counts a request as in flight.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void requestStarted(long nowMillis) {
        inFlight++;
        if (limit != null) {
            limit.take(nowMillis);
        }
    }

    /** Counts an in-flight request as ended. */
    public void requestEnded() {
        inFlight--;
    }

    /** Records a response of the endpoint; resets its failures and ends an ejection. */
    public void recordSuccess() {
        failures = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Records the latency of a request.
     *
     * @param sample the latency as a ratio to the mean of the request's route
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordLatency(double sample, long nowMillis) {
        double before = latencyRatio(nowMillis);
        latencyRatio = before + LATENCY_SMOOTHING * (Math.min(MAX_LATENCY_RATIO, sample) - before);
        sampledMillis = nowMillis;
    }

    /** Returns the smoothed ratio of the endpoint's latency to the mean; 1 for an average endpoint. */
    double latencyRatio(long nowMillis) {
        return 1 + (latencyRatio - 1) * Math.exp(-Math.max(0, nowMillis - sampledMillis) / LATENCY_DECAY_MILLIS);
    }

    /**
     * Records that the endpoint failed to respond, and ejects it for a while.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordFailure(long nowMillis) {
        long ejectionMillis = Math.min(MAX_EJECTION_MILLIS, BASE_EJECTION_MILLIS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        ejectedUntilMillis = nowMillis + ejectionMillis;
    }

    /**
     * Records that the endpoint rejected a request because it was full.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordRejection(long nowMillis) {
        avoidedUntilMillis = nowMillis + REJECTION_BACKOFF_MILLIS;
    }

    /**
     * Records the request limit that a response of the endpoint states. The limit applies until a response to a later
     * request states none.
     *
     * @param requestsPerSecond the number of requests per second that the endpoint accepts from all entries together;
     *     empty if the response states none
     * @param entries the entries that share the limit
     * @param sentMillis the monotonic time at which the request was sent, in milliseconds
     * @param nowMillis monotonic time in milliseconds
     * @return true if a limit begins or ends to apply
     */
    public boolean recordLimit(OptionalDouble requestsPerSecond, EntryGroup entries, long sentMillis, long nowMillis) {
        boolean limited = limit != null;
        if (requestsPerSecond.isPresent()) {
            limitStatedMillis = nowMillis;
            if (limit == null) {
                limit = new EndpointLimit(record.id(), requestsPerSecond.getAsDouble(), entries, nowMillis);
            } else {
                limit.update(requestsPerSecond.getAsDouble(), nowMillis);
            }
        } else if (sentMillis > limitStatedMillis) {
            limit = null;
        }
        return limited != (limit != null);
    }

    /** Returns the time until the request limit allows a request, in milliseconds; 0 if it allows one now. */
    long limitDelayMillis(long nowMillis) {
        return limit == null ? 0 : limit.delayMillis(nowMillis);
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    boolean recentlyRejected(long nowMillis) {
        return nowMillis < avoidedUntilMillis;
    }
}
