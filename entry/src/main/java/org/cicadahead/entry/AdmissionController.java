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
 * Exchanges grants with the leader and wakes waiting requests. Safe for use by several threads; no call leaves while
 * its monitor is held.
 */
final class AdmissionController {
    /** Longer than a change of the leader takes; the waiting requests give up by themselves before. */
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

    /** Admits a request, now or later; the answer carries the refusal if there is one. */
    CompletableFuture<AdmissionDecision> request(Organisation organisation) {
        CompletableFuture<AdmissionDecision> decision = new CompletableFuture<>();
        synchronized (this) {
            OptionalLong ticket = admission.request(organisation, clock.getAsLong());
            if (ticket.isPresent()) {
                waiting.put(ticket.getAsLong(), decision);
                decision.whenComplete((admitted, failure) -> cancel(organisation, ticket.getAsLong()));
            } else {
                decision.complete(new AdmissionDecision(0, Optional.empty(), 0));
            }
        }
        exchange();
        return decision;
    }

    /** Decides on waiting requests and asks the leader; called at every tick and after every answer. */
    void tick() {
        List<AdmissionDecision> decided;
        Map<Long, CompletableFuture<AdmissionDecision>> wakened = new HashMap<>();
        synchronized (this) {
            decided = admission.decide(clock.getAsLong());
            for (AdmissionDecision admitted : decided) {
                wakened.put(admitted.ticket(), waiting.remove(admitted.ticket()));
            }
        }
        for (AdmissionDecision admitted : decided) {
            CompletableFuture<AdmissionDecision> decision = wakened.get(admitted.ticket());
            if (decision != null) {
                decision.complete(admitted);
            }
        }
        exchange();
    }

    private synchronized void cancel(Organisation organisation, long ticket) {
        if (waiting.remove(ticket) != null) {
            admission.cancel(organisation.name(), ticket);
        }
    }

    private void exchange() {
        List<GrantLine> lines;
        long sentMillis;
        synchronized (this) {
            sentMillis = clock.getAsLong();
            lines = admission.lines(sentMillis);
        }
        if (lines.isEmpty()) {
            return;
        }
        GrantRequest request = new GrantRequest(daemon.id(), daemon.generation(), lines);
        control.call(request, GrantReply.class, CALL_TIMEOUT_MILLIS).whenComplete((reply, failure) -> {
            synchronized (this) {
                if (failure == null) {
                    admission.answered(lines, reply, sentMillis, clock.getAsLong());
                } else {
                    admission.unanswered(lines, clock.getAsLong());
                }
            }
            tick();
        });
    }
}
