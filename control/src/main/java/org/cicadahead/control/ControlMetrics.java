package org.cicadahead.control;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.EditReply;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantReply;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.Refused;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.replication.ReplicationCounters;

/** Counts the commands, replies and refusals of control. Thread-safe. */
final class ControlMetrics {
    private final MetricRegistry registry;
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
    private final Counter granted;
    private final Counter deniedWithinRate;
    private final Counter deniedOverRate;

    ControlMetrics(MetricRegistry registry) {
        this.registry = registry;
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(reason, registry.counter("control.refusals." + reason.code()));
        }
        granted = registry.counter("control.grants.requests");
        deniedWithinRate = registry.counter("control.grants.denied." + RefusalReason.RATE_GRANT_UNAVAILABLE.code());
        deniedOverRate = registry.counter("control.grants.denied." + RefusalReason.RATE_LIMITED.code());
    }

    /**
     * Registers gauges that read the state of the replicated log when metrics are collected.
     *
     * @param counters the counters of the current replica
     * @param out 1 if the replica has failed and has not been restarted since, else 0
     */
    void registerGauges(Supplier<ReplicationCounters> counters, IntSupplier out) {
        registry.gauge("raft.replica_out", () -> () -> out.getAsInt());
        registry.gauge("raft.term", () -> () -> counters.get().term());
        registry.gauge("raft.last_index", () -> () -> counters.get().lastIndex());
        registry.gauge("raft.commit_index", () -> () -> counters.get().commitIndex());
        registry.gauge("raft.applied_index", () -> () -> counters.get().appliedIndex());
        registry.gauge("raft.snapshot_index", () -> () -> counters.get().snapshotIndex());
        registry.gauge("raft.syncs", () -> () -> counters.get().syncs());
        registry.gauge("raft.elections", () -> () -> counters.get().elections());
    }

    void count(Command command, Message reply) {
        registry.counter("control.commands." + command.getClass().getSimpleName())
                .inc();
        if (reply instanceof StepReply step) {
            step.outcome().refusal().ifPresent(this::countRefusal);
        } else if (reply instanceof ClaimReply claim) {
            claim.outcome().refusal().ifPresent(this::countRefusal);
        } else if (reply instanceof EditReply edit) {
            registry.counter("control.edits." + edit.outcome().name().toLowerCase(Locale.ROOT))
                    .inc();
        } else if (reply instanceof Done done && !done.accepted()) {
            registry.counter("control.refused." + command.getClass().getSimpleName())
                    .inc();
        }
    }

    Message count(Message reply) {
        if (reply instanceof Refused refusal) {
            countRefusal(refusal.reason());
        } else if (reply instanceof GrantReply grants) {
            for (Grant grant : grants.grants()) {
                count(grant);
            }
        }
        return reply;
    }

    void countRefusal(RefusalReason reason) {
        refusals.get(reason).inc();
    }

    private void count(Grant grant) {
        granted.inc(grant.requests());
        if (grant.requests() == 0 && grant.retryAfterMillis() > 0) {
            (grant.withinRate() ? deniedWithinRate : deniedOverRate).inc();
        }
    }
}
