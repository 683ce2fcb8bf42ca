package org.cicadahead.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.ClearSuspects;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.EndProgram;
import org.cicadahead.protocol.OrphanClaims;
import org.cicadahead.state.ClaimTable.StartedClaims;
import org.cicadahead.state.ProgramTable;
import org.jboss.logging.Logger;

/**
 * Periodic maintenance by the leader: ends idle programs, marks orphaned claims as unknown and proposes an empty
 * command when table entries have expired, so that they are removed.
 */
final class Housekeeping implements Runnable {
    /** Delay between two rounds, in milliseconds. */
    static final long INTERVAL_MILLIS = 500;
    /** Started claims of an endpoint that has been absent for this long are orphaned, in milliseconds. */
    static final long ORPHAN_MILLIS = 5_000;

    private static final Logger LOG = Logger.getLogger("cicadahead.control");
    /** Maximum number of programs ended in one round, so that the commands of callers do not queue behind them. */
    private static final int MAX_ENDED_PER_ROUND = 200;

    /**
     * Interval of the search for idle programs, in milliseconds. Each search visits all programs, and 2 s is short
     * against idle limits of minutes.
     */
    private static final long IDLE_SEARCH_INTERVAL_MILLIS = 2_000;

    private static final long PROPOSE_TIMEOUT_MILLIS = 2_000;

    private final ControlService service;
    private final ControlStateMachine machine;
    private final Leadership leadership;
    private final LongSupplier wallClock;
    private long nextIdleSearchMillis = Long.MIN_VALUE;

    Housekeeping(ControlService service, ControlStateMachine machine, Leadership leadership, LongSupplier wallClock) {
        this.service = service;
        this.machine = machine;
        this.leadership = leadership;
        this.wallClock = wallClock;
    }

    @Override
    public void run() {
        try {
            Optional<Leadership.Lease> lease = leadership.current();
            if (lease.isPresent()) {
                runRound(lease.get());
            }
        } catch (RuntimeException e) {
            LOG.errorf(e, "control: Housekeeping failed");
        }
    }

    private void runRound(Leadership.Lease lease) {
        lease.tables().withEndpoints(table -> {
            table.advance(lease.nowMillis());
            return null;
        });
        for (StartedClaims claims : machine.read(state -> state.claims().startedByEndpoint())) {
            long orphanedBefore = orphanedBeforeGeneration(lease, claims);
            if (orphanedBefore > claims.lowestGeneration()) {
                propose(new OrphanClaims(claims.endpoint(), orphanedBefore));
            }
        }
        long wallMillis = wallClock.getAsLong();
        if (lease.nowMillis() >= nextIdleSearchMillis) {
            nextIdleSearchMillis = lease.nowMillis() + IDLE_SEARCH_INTERVAL_MILLIS;
            endIdlePrograms(wallMillis);
        }
        if (machine.read(state -> state.hasExpired(wallMillis))) {
            // An empty command advances the time of the tables, so that entries expire also when there are no other
            // commands.
            propose(new ClearSuspects(List.of()));
        }
    }

    private void endIdlePrograms(long wallMillis) {
        List<ProgramKey> idle = machine.read(
                state -> state.programs().idlePrograms(Math.max(wallMillis, state.lastMillis()), MAX_ENDED_PER_ROUND));
        idle.forEach(program -> propose(new EndProgram(program, ProgramTable.IDLE_CAUSE)));
    }

    /**
     * Returns the generation below which the started claims of an endpoint are orphaned; Long.MIN_VALUE if none are.
     */
    private static long orphanedBeforeGeneration(Leadership.Lease lease, StartedClaims claims) {
        return lease.tables().withEndpoints(table -> {
            Optional<Long> generation = table.generation(claims.endpoint());
            if (generation.isPresent()) {
                return generation.get();
            }
            boolean absent = table.absentMillis(lease.nowMillis(), claims.endpoint()) >= ORPHAN_MILLIS;
            return absent ? claims.highestGeneration() + 1 : Long.MIN_VALUE;
        });
    }

    private void propose(Command command) {
        service.propose(command)
                .orTimeout(PROPOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(failure -> {
                    LOG.debugf(failure, "control: A housekeeping command failed");
                    return null;
                });
    }
}
