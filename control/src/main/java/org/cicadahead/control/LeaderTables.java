package org.cicadahead.control;

import java.util.function.Function;
import org.cicadahead.grants.RateBuckets;

/**
 * What a leader keeps in memory for its term. Safe for use by several threads; its lock is a leaf.
 *
 * <p>Tables of another term are never used again, so that nothing of an earlier leadership is taken for current.
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

    /** The buckets have a lock of their own, so that grants do not wait for heartbeats. */
    <T> T withBuckets(Function<RateBuckets, T> action) {
        synchronized (buckets) {
            return action.apply(buckets);
        }
    }
}
