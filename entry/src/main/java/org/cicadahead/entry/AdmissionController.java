package org.cicadahead.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.cicadahead.admission.Admission;
import org.cicadahead.admission.AdmissionDecision;
import org.cicadahead.model.Organisation;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantReply;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.wire.ControlClient;

/**
 * Exchanges rate grants with the control leader and completes the futures of waiting requests. Thread-safe. While
 * its monitor is held, no message is sent and no future of a waiting request is completed.
 */
final class AdmissionController {
    /**
     * Timeout of a grant request in milliseconds. It is longer than a leader failover takes. The requests that wait for
     * the grant have their own time limit, which ends before.
     */
    private static final long CALL_TIMEOUT_MILLIS = 3_000;

    private final DaemonInfo daemon;
    private final ControlClient control;
    private final LongSupplier clock;
    private final Admission admission = Admission.create();
    private final Map<Long, CompletableFuture<AdmissionDecision>> waiting = new HashMap<>();

    AdmissionController(DaemonInfo daemon, ControlClient control, LongSupplier clock) {
        this.daemon = daemon;
        this.control = control;
        this.clock = clock;
    }

    /** Requests admission. The future completes with the decision, which may be a refusal. */
    CompletableFuture<AdmissionDecision> request(Organisation organisation) {
        CompletableFuture<AdmissionDecision> future = new CompletableFuture<>();
        synchronized (this) {
            OptionalLong ticket = admission.request(organisation, clock.getAsLong());
            if (ticket.isPresent()) {
                waiting.put(ticket.getAsLong(), future);
                future.whenComplete((decision, failure) -> cancel(organisation, ticket.getAsLong()));
            } else {
                future.complete(new AdmissionDecision(0, Optional.empty(), 0));
            }
        }
        exchangeGrants();
        return future;
    }

    /** Decides on waiting requests and exchanges grants with the leader. Called periodically and after each reply. */
    void tick() {
        List<AdmissionDecision> decided;
        Map<Long, CompletableFuture<AdmissionDecision>> futures = new HashMap<>();
        synchronized (this) {
            decided = admission.decide(clock.getAsLong());
            for (AdmissionDecision decision : decided) {
                futures.put(decision.ticket(), waiting.remove(decision.ticket()));
            }
        }
        for (AdmissionDecision decision : decided) {
            CompletableFuture<AdmissionDecision> future = futures.get(decision.ticket());
            if (future != null) {
                future.complete(decision);
            }
        }
        exchangeGrants();
    }

    private synchronized void cancel(Organisation organisation, long ticket) {
        if (waiting.remove(ticket) != null) {
            admission.cancel(organisation.name(), ticket);
        }
    }

    private void exchangeGrants() {
        List<GrantLine> lines;
        long sentMillis;
        synchronized (this) {
            sentMillis = clock.getAsLong();
            lines = admission.nextBatch(sentMillis);
        }
        if (lines.isEmpty()) {
            return;
        }
        GrantRequest request = new GrantRequest(daemon.id(), daemon.generation(), lines);
        control.call(request, GrantReply.class, CALL_TIMEOUT_MILLIS).whenComplete((reply, failure) -> {
            synchronized (this) {
                if (failure == null) {
                    admission.applyReply(lines, reply, sentMillis, clock.getAsLong());
                } else {
                    admission.handleMissingReply(lines, clock.getAsLong());
                }
            }
            tick();
        });
    }
}
