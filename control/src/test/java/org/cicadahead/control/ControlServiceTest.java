package org.cicadahead.control;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.CheckPrograms;
import org.cicadahead.protocol.ClaimOutcome;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.EditOutcome;
import org.cicadahead.protocol.EditReply;
import org.cicadahead.protocol.EndProgram;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantReply;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.NotLeader;
import org.cicadahead.protocol.ProgramsGone;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.ReadProgram;
import org.cicadahead.protocol.StartClaim;
import org.cicadahead.protocol.SyncReply;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a replica without the leader lease that answers from outdated tables, and against a leader that does
 * not end idle programs, or that marks claims as unknown too early or never.
 */
class ControlServiceTest {

    @TempDir
    Path folder;

    private final MetricRegistry metrics = new MetricRegistry();
    private HistoryStore histories;
    private FakeLog log;
    private ControlService service;
    private Housekeeping housekeeping;
    private long now = 50_000;

    @BeforeEach
    void create() throws IOException {
        histories = HistoryStore.open(folder, HistoryStore.SEGMENT_BYTES);
        ControlStateMachine machine = new ControlStateMachine(histories);
        log = new FakeLog(machine);
        Leadership leadership = new Leadership(log, () -> now);
        service = new ControlService(log, machine, histories, leadership, new ControlMetrics(metrics), Runnable::run);
        housekeeping = new Housekeeping(service, machine, leadership, () -> log.wallMillis);
    }

    @AfterEach
    void close() throws IOException {
        histories.close();
    }

    @Test
    void withoutTheLeaseNothingIsReadOrGranted() throws Exception {
        log.lease = false;
        for (Message request : List.of(
                Samples.entrySync(0, 0, 0),
                Samples.GRANT,
                new ReadProgram(Samples.PROGRAM, 1),
                new CheckPrograms(List.of(Samples.PROGRAM)))) {
            assertThat(ask(request)).isEqualTo(new NotLeader("10.0.0.1:7"));
        }
    }

    @Test
    void commandThatMayBeCommittedFailsAndOthersAreSentToTheLeader() throws Exception {
        log.failure = new ReplicationException(true, "lost", null);
        assertThat(ask(new EndProgram(Samples.PROGRAM, "x"))).isEqualTo("lost");
        log.failure = new ReplicationException(false, "not the leader", null);
        assertThat(ask(new EndProgram(Samples.PROGRAM, "x"))).isInstanceOf(NotLeader.class);
    }

    @Test
    void invalidResourceIsNeverProposed() throws Exception {
        PutResource put = new PutResource(
                ResourceKind.POOL,
                "a",
                JsonNodeFactory.instance.objectNode().put("name", "other"),
                0,
                RequestId.of("r"));
        assertThat(((EditReply) ask(put)).outcome()).isEqualTo(EditOutcome.INVALID);
        assertThat(((SyncReply) ask(Samples.entrySync(0, 0, 0))).configuration())
                .isNull();
    }

    @Test
    void nextTermDiscardsGrantsAndKeepsEndpointsOfReceivers() throws Exception {
        addOrganisation();
        SyncReply before = (SyncReply) ask(Samples.endpointSync(1));
        assertThat(before.endpoints()).isNull();
        SyncReply seen = (SyncReply) ask(Samples.entrySync(0, 0, 0));
        assertThat(seen.endpoints().announced()).hasSize(1);
        ask(Samples.GRANT);
        now += 10_000;
        assertThat(grant().requests()).isEqualTo(1);
        log.term = 2;
        assertThat(grant().requests()).isEqualTo(0);
        SyncReply next = (SyncReply) ask(
                Samples.entrySync(0, seen.endpoints().epoch(), seen.endpoints().version()));
        assertThat(next.endpoints().full()).isFalse();
        assertThat(next.endpoints().removed()).isEmpty();
    }

    @Test
    void idleProgramIsEndedByTheLeaderOnly() throws Exception {
        ask(Samples.begin(Samples.PROGRAM, 1, "n"));
        log.wallMillis += 60_000;
        log.lease = false;
        housekeeping.run();
        log.lease = true;
        assertThat(endedPrograms()).isEmpty();
        housekeeping.run();
        assertThat(endedPrograms()).containsExactly(Samples.PROGRAM);
    }

    @Test
    void claimOfAnAbsentEndpointBecomesUnknownAfterFiveSeconds() throws Exception {
        startClaim();
        ask(Samples.endpointSync(1));
        advanceTime(2_000);
        ask(Samples.endpointSync(1));
        advanceTime(2_500);
        advanceTime(4_500);
        assertThat(claimOutcome()).isEqualTo(ClaimOutcome.RUNNING);
        advanceTime(500);
        assertThat(claimOutcome()).isEqualTo(ClaimOutcome.UNKNOWN);
    }

    @Test
    void newLeaderWaitsBeforeItTreatsAnEndpointAsAbsent() throws Exception {
        startClaim();
        advanceTime(6_500);
        log.term = 2;
        advanceTime(6_500);
        assertThat(claimOutcome()).isEqualTo(ClaimOutcome.RUNNING);
        advanceTime(1_000);
        assertThat(claimOutcome()).isEqualTo(ClaimOutcome.UNKNOWN);
    }

    @Test
    void restartedEndpointOrphansTheClaimsOfItsOldGeneration() throws Exception {
        startClaim();
        ask(Samples.endpointSync(1));
        housekeeping.run();
        assertThat(claimOutcome()).isEqualTo(ClaimOutcome.RUNNING);
        ask(Samples.endpointSync(2));
        housekeeping.run();
        assertThat(claimOutcome()).isEqualTo(ClaimOutcome.UNKNOWN);
        assertThat(metrics.counter("control.refusals.outcome_unknown").getCount())
                .isEqualTo(1);
    }

    private void startClaim() throws WireException {
        ClaimReply begun = (ClaimReply) ask(Samples.beginClaim("n1"));
        ask(new StartClaim(new ClaimRef(Samples.CLAIM, begun.fence()), Samples.E1, 1, RunId.of("r")));
    }

    private ClaimOutcome claimOutcome() throws WireException {
        return ((ClaimReply) ask(Samples.beginClaim("n2"))).outcome();
    }

    private List<ProgramKey> endedPrograms() throws WireException {
        return ((ProgramsGone) ask(new CheckPrograms(List.of(Samples.PROGRAM)))).gone();
    }

    private void advanceTime(long millis) {
        for (long until = now + millis; now < until; now += 500) {
            housekeeping.run();
        }
        housekeeping.run();
    }

    private void addOrganisation() throws WireException {
        ask(new PutResource(
                ResourceKind.ORGANISATION,
                "acme",
                JsonNodeFactory.instance
                        .objectNode()
                        .put("name", "acme")
                        .put("rate_per_second", 1)
                        .put("burst", 2),
                0,
                RequestId.of("r")));
    }

    private Grant grant() throws WireException {
        return ((GrantReply) ask(Samples.GRANT)).grants().get(0);
    }

    private Object ask(Message request) throws WireException {
        List<Object> answers = new ArrayList<>();
        service.handle(request, new Responder() {
            @Override
            public boolean part(Message part) {
                return false;
            }

            @Override
            public void reply(Message reply) {
                answers.add(reply);
            }

            @Override
            public void fail(String text) {
                answers.add(text);
            }

            @Override
            public void onCancel(Runnable action) {}

            @Override
            public long queuedBytes() {
                return 0;
            }
        });
        assertThat(answers).hasSize(1);
        return answers.get(0);
    }
}
