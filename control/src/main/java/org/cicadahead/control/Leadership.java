package org.cicadahead.control;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.cicadahead.replication.ReplicatedLog;
import org.jboss.logging.Logger;

/** Gives access to the tables of the leader only while this replica holds the leader lease. Thread-safe. */
final class Leadership {
    private static final Logger LOG = Logger.getLogger("cicadahead.control");

    private final ReplicatedLog log;
    private final LongSupplier clock;
    private LeaderTables tables;
    private long lastMillis;

    Leadership(ReplicatedLog log, LongSupplier clock) {
        this.log = log;
        this.clock = clock;
    }

    /**
     * Returns the tables of the leader.
     *
     * @return the tables with the present time, or empty if this replica does not hold the lease
     */
    synchronized Optional<Lease> current() {
        long now = Math.max(lastMillis, clock.getAsLong());
        lastMillis = now;
        long term = log.term();
        if (!log.holdsLease(now) || log.term() != term) {
            return Optional.empty();
        }
        if (tables == null || tables.term() != term) {
            tables = new LeaderTables(term, now);
            LOG.infof("control: Serving as leader in term %d", term);
        }
        return Optional.of(new Lease(tables, now));
    }

    String leaderAddress() {
        return log.leaderAddress();
    }

    /**
     * Proof that this replica held the leader lease at a time.
     *
     * @param tables the tables of the leader
     * @param nowMillis the monotonic time at which the lease was held, in milliseconds
     */
    record Lease(LeaderTables tables, long nowMillis) {}
}
