package org.cicadahead.testbed.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import org.cicadahead.admission.Admission;
import org.cicadahead.admission.AdmissionDecision;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantReply;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.routing.EndpointChooser;

/** One entry: its admission against grants and its choice of endpoints, without knowledge of the other entries. */
final class SimEntry {
    private static final long TICK_MICROS = 20_000;

    final EndpointChooser chooser;
    final int zone;
    private final DaemonId id;
    private final Admission admission = Admission.create();
    private final Map<Long, Consumer<AdmissionDecision>> waiting = new HashMap<>();
    private final Clock clock;
    private final Leader leader;
    private final long leaderMicros;
    private int next;

    /** The leader's side of the exchange of grants. */
    interface Leader {
        GrantReply serve(GrantRequest request);
    }

    SimEntry(int number, int zone, long leaderMicros, Clock clock, long seed, Leader leader) {
        this.zone = zone;
        this.id = DaemonId.of("entry-" + (number + 1));
        this.chooser = EndpointChooser.create(ZoneName.of("zone-" + zone), new Random(seed));
        this.clock = clock;
        this.leader = leader;
        this.leaderMicros = leaderMicros;
        this.next = number;
        clock.every(TICK_MICROS, this::tick);
    }

    /** Returns the next number of the round robin. */
    int nextRoundRobin() {
        return next++;
    }

    void admit(Organisation organisation, Consumer<Optional<AdmissionDecision>> decision) {
        OptionalLong ticket = admission.request(organisation, clock.millis());
        if (ticket.isEmpty()) {
            decision.accept(Optional.empty());
        } else {
            waiting.put(ticket.getAsLong(), admitted -> decision.accept(Optional.of(admitted)));
        }
        exchange();
    }

    private void tick() {
        for (AdmissionDecision admitted : List.copyOf(admission.decide(clock.millis()))) {
            waiting.remove(admitted.ticket()).accept(admitted);
        }
        exchange();
    }

    private void exchange() {
        long sent = clock.millis();
        List<GrantLine> lines = admission.nextBatch(sent);
        if (lines.isEmpty()) {
            return;
        }
        GrantRequest request = new GrantRequest(id, 1, lines);
        clock.after(leaderMicros, () -> {
            GrantReply reply = leader.serve(request);
            clock.after(leaderMicros, () -> {
                admission.applyReply(lines, reply, sent, clock.millis());
                tick();
            });
        });
    }
}
