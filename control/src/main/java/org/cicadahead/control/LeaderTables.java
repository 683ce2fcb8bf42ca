package org.cicadahead.control;

import java.util.function.Function;
import org.cicadahead.grants.RateBuckets;

/**
 * The in-memory tables of a leader for one term. Thread-safe; no other lock is acquired under its locks.
 *
 * <p>Each term starts with new tables, so that no state of an earlier leadership is used as current.
 */
final class LeaderTables {
    private final long term;
    private final EndpointTable endpoints;
    private final DaemonTable daemons = new DaemonTable();
    private final RateBuckets buckets;

    LeaderTables(long term, long nowMillis) {
        this.term = term;
        this.endpoints = new EndpointTable(term, nowMillis);
        this.buckets = RateBuckets.create(term, nowMillis);
    }

    long term() {
        return term;
    }

    synchronized <T> T withEndpoints(Function<EndpointTable, T> action) {
        return action.apply(endpoints);
    }

    synchronized <T> T withDaemons(Function<DaemonTable, T> action) {
        return action.apply(daemons);
    }

    /** Calls the action under the separate lock of the buckets, so that grants do not wait for heartbeats. */
    <T> T withBuckets(Function<RateBuckets, T> action) {
        synchronized (buckets) {
            return action.apply(buckets);
        }
    }
}
