package org.cicadahead.testbed.emulator;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.cicadahead.testbed.emulator.EndpointHarness.await;
import static org.cicadahead.testbed.emulator.EndpointHarness.content;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.ClearSuspects;
import org.cicadahead.protocol.CrashReport;
import org.cicadahead.protocol.PoisonEntry;
import org.cicadahead.protocol.PoisonTable;
import org.cicadahead.protocol.RunEnd;
import org.cicadahead.protocol.Sync;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against lost, torn and leaked work of an endpoint daemon when its engine fails. */
class EngineEndpointTest {
    private static final String LONG = "word ".repeat(64);

    private EngineEmulator engine;
    private EndpointHarness harness;

    @BeforeEach
    void start() throws Exception {
        engine = EngineEmulator.start(0, EngineOptions.fast(1));
        harness = new EndpointHarness(EndpointKind.ENGINE, engine.uri(), 8);
    }

    @AfterEach
    void close() throws IOException {
        harness.close();
        engine.close();
    }

    @Test
    void answersKeepOrderAndBelongToTheirRequests() throws Exception {
        List<EndpointHarness.Answer> answers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            answers.add(harness.complete("p" + i, "request " + i, 20));
        }
        for (int i = 0; i < 40; i++) {
            RunEnd end = answers.get(i).get();
            assertThat(end.refusal()).isNull();
            assertThat(end.status()).isEqualTo(200);
            assertThat(end.usage().completionTokens()).isEqualTo(20);
            assertThat(end.chunks()).isEqualTo(answers.get(i).chunks);
            assertThat(answers.get(i).outOfOrder).isFalse();
            assertThat(content(answers.get(i).body())).isEqualTo(EngineAnswers.content("request " + i, 20));
        }
        assertWithMessage("keys reach the engine")
                .that(engine.journal().contains("ck_"))
                .isFalse();
        assertWithMessage("a caller may choose the cache owner")
                .that(engine.owners())
                .doesNotContainKey("other/program");
        assertThat(engine.owners()).containsKey("open/p0");
    }

    @Test
    void brokenStreamIsResumedWithoutLossOrRepetition() throws Exception {
        engine.faults().set(EngineFault.BREAK_AFTER_EVENTS, "5");
        EndpointHarness.Answer answer = harness.complete(null, "hello", 30);
        assertThat(answer.get().refusal()).isNull();
        assertThat(content(answer.body())).isEqualTo(EngineAnswers.content("hello", 30));
        assertThat(harness.metrics.counter("endpoint.engine.resumes").getCount())
                .isAtLeast(1L);
        assertThat(harness.control.received(CrashReport.class)).isEmpty();
    }

    @Test
    void crashInMidStreamIsReportedWithAllDigestsThatRan() throws Exception {
        engine.faults().set(EngineFault.DIE_AFTER_EVENTS, "200");
        String before = engine.instance();
        EndpointHarness.Answer one = harness.complete("p1", "one", 100_000);
        EndpointHarness.Answer two = harness.complete("p2", "two", 100_000);
        for (EndpointHarness.Answer answer : List.of(one, two)) {
            RunEnd end = answer.get();
            assertThat(end.refusal()).isEqualTo(RefusalReason.ENDPOINT_FAILED);
            assertThat(end.notRun()).isFalse();
        }
        await(
                "a crash report",
                () -> !harness.control.received(CrashReport.class).isEmpty());
        CrashReport report = harness.control.received(CrashReport.class).get(0);
        assertThat(report.instance()).isEqualTo(before);
        assertThat(report.running()).containsExactly(EndpointHarness.digest("one"), EndpointHarness.digest("two"));
        assertThat(harness.complete("p1", "one", 5).get().refusal()).isNull();
        await(
                "the suspect is cleared",
                () -> harness.control.received(ClearSuspects.class).stream()
                        .anyMatch(clear -> clear.digests().contains(EndpointHarness.digest("one"))));
    }

    /** The refused connection of the resume must not be taken for a request that was never sent. */
    @Test
    void engineThatStopsListeningInMidStreamMayHaveRun() throws Exception {
        EndpointHarness.Answer answer = harness.complete(null, "gone", 100_000);
        await("the run has begun", () -> engine.busy() > 0);
        engine.close();
        RunEnd end = answer.get();
        assertThat(end.refusal()).isEqualTo(RefusalReason.ENDPOINT_FAILED);
        assertThat(end.notRun()).isFalse();
    }

    @Test
    void soleRequestThatCrashesTheEngineIsReportedAlone() throws Exception {
        engine.faults().set(EngineFault.CRASH_MARKER, "poison");
        assertThat(harness.complete(null, "innocent", 5).get().refusal()).isNull();
        assertThat(harness.complete(null, "poison", 5).get().refusal()).isEqualTo(RefusalReason.ENDPOINT_FAILED);
        EndpointHarness.Answer later = harness.complete(null, "later", 5);
        assertThat(later.get().refusal()).isNull();
        await(
                "a crash report",
                () -> !harness.control.received(CrashReport.class).isEmpty());
        assertThat(harness.control.received(CrashReport.class).get(0).running())
                .containsExactly(EndpointHarness.digest("poison"));
    }

    @Test
    void suspectRunsAloneAndRefusedDigestDoesNotRun() throws Exception {
        PoisonEntry suspect = new PoisonEntry(EndpointHarness.digest("suspect"), false, Set.of(), Long.MAX_VALUE);
        PoisonEntry refused = new PoisonEntry(EndpointHarness.digest("refused"), true, Set.of(), Long.MAX_VALUE);
        harness.control.poison = new PoisonTable(1, List.of(suspect, refused));
        await(
                "the table arrives",
                () -> harness.control.received(Sync.class).stream().anyMatch(sync -> sync.poisonVersion() == 1));
        RunEnd end = harness.complete(null, "refused", 5).get();
        assertThat(end.refusal()).isEqualTo(RefusalReason.REQUEST_POISONOUS);
        assertThat(end.notRun()).isTrue();
        EndpointHarness.Answer before = harness.complete(null, "before", 300);
        await("the run streams", () -> before.chunks > 3);
        EndpointHarness.Answer alone = harness.complete(null, "suspect", 50);
        assertThat(alone.get().refusal()).isNull();
        assertWithMessage("the run before had ended").that(before.end.isDone()).isTrue();
        await(
                "the suspect is cleared",
                () -> !harness.control.received(ClearSuspects.class).isEmpty());
    }

    @Test
    void hangingEngineFailsItsRunsAndRecovers() throws Exception {
        EndpointHarness.Answer running = harness.complete(null, "hello", 1_000_000);
        await("the run streams", () -> running.chunks > 3);
        engine.faults().set(EngineFault.HANG, "1");
        RunEnd end = running.get();
        assertThat(end.refusal()).isEqualTo(RefusalReason.ENDPOINT_FAILED);
        assertThat(end.notRun()).isFalse();
        RunEnd refused = harness.complete(null, "hello", 5).get();
        assertThat(refused.refusal()).isEqualTo(RefusalReason.ENDPOINT_FAILED);
        assertThat(refused.notRun()).isTrue();
        engine.faults().clear(EngineFault.HANG);
        await("the node is ready again", harness.node::isReady);
        assertThat(harness.complete(null, "hello", 5).get().refusal()).isNull();
    }

    @Test
    void cancelledRunEndsOnTheEngine() {
        EndpointHarness.Answer answer = harness.complete("p1", "hello", 1_000_000);
        await("the run streams", () -> answer.chunks > 3);
        answer.call.cancel();
        await("the engine is idle", () -> engine.busy() == 0);
    }

    @Test
    void cacheOfEndedProgramsIsReleasedAlsoWhenReleasesAreLost() throws Exception {
        engine.faults().set(EngineFault.REFUSE_RELEASES, "3");
        engine.faults().set(EngineFault.LOSE_RELEASE_ANSWERS, "2");
        for (int i = 0; i < 4; i++) {
            assertThat(harness.complete("p" + i, LONG + i, 5).get().refusal()).isNull();
        }
        assertThat(engine.owners()).hasSize(4);
        for (int i = 0; i < 4; i++) {
            harness.control.ended.add(program("p" + i));
        }
        await("the cache is empty", () -> engine.owners().isEmpty());
    }

    @Test
    void cacheReturnsToZeroAfterAnEngineRestartAndACancelledRun() throws Exception {
        harness.complete("p1", LONG, 5).get();
        harness.complete("p2", LONG, 5).get();
        engine.crash();
        await("the node is ready again", () -> engine.starts() == 2 && harness.node.isReady());
        assertThat(harness.complete("p2", LONG, 5).get().refusal()).isNull();
        EndpointHarness.Answer cancelled = harness.complete("p3", LONG, 1_000_000);
        await("the run streams", () -> cancelled.chunks > 3);
        cancelled.call.cancel();
        harness.control.gone = program -> true;
        harness.control.ended.addAll(List.of(program("p1"), program("p2"), program("p3")));
        await("the cache is empty", () -> engine.busy() == 0 && engine.owners().isEmpty());
    }

    @Test
    void restartedDaemonReleasesWhatControlDoesNotKnow() throws Exception {
        harness.complete("gone", LONG, 5).get();
        harness.complete("alive", "x" + LONG, 5).get();
        harness.stop(1_000);
        harness.control.gone = program -> program.equals(program("gone"));
        harness.start();
        await(
                "the cache of the lost program is released",
                () -> !engine.owners().containsKey("open/gone"));
        assertThat(engine.owners()).containsKey("open/alive");
    }

    @Test
    void gracefulShutdownFinishesRunsAndRefusesNewOnes() throws Exception {
        List<EndpointHarness.Answer> answers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            answers.add(harness.complete(null, "request " + i, 2_000));
        }
        await("all runs are with the daemon", () -> harness.open() == 20);
        CompletableFuture<Void> shutdown = CompletableFuture.runAsync(() -> harness.node.shutdown(20_000));
        await(
                "the endpoint announces that it leaves",
                () -> harness.control.received(Sync.class).stream()
                        .anyMatch(sync -> sync.announcement() != null
                                && sync.announcement().state() == EndpointState.LEAVING));
        RunEnd refused = harness.complete(null, "late", 5).get();
        assertThat(refused.refusal()).isEqualTo(RefusalReason.ENDPOINT_LEAVING);
        assertThat(refused.notRun()).isTrue();
        for (int i = 0; i < 20; i++) {
            assertThat(answers.get(i).get().refusal()).isNull();
            assertThat(content(answers.get(i).body())).isEqualTo(EngineAnswers.content("request " + i, 2_000));
        }
        shutdown.get();
    }

    /** A new leader answers without the drain, as the leader keeps it in memory. */
    @Test
    void drainOutlastsAChangeOfTheLeader() throws Exception {
        harness.control.draining.set(true);
        await("the drain is announced", this::announcesLeaving);
        harness.control.draining.set(false);
        int syncs = harness.control.received(Sync.class).size();
        await("more heartbeats", () -> harness.control.received(Sync.class).size() >= syncs + 2);
        assertThat(announcesLeaving()).isTrue();
        assertThat(harness.complete(null, "late", 5).get().refusal()).isEqualTo(RefusalReason.ENDPOINT_LEAVING);
    }

    @Test
    void engineThatIsNotReachableMeansNotRun() throws Exception {
        engine.close();
        RunEnd end = harness.complete(null, "hello", 5).get();
        assertThat(end.refusal()).isEqualTo(RefusalReason.ENDPOINT_FAILED);
        assertThat(end.notRun()).isTrue();
    }

    private boolean announcesLeaving() {
        List<Sync> syncs = harness.control.received(Sync.class);
        Sync last = syncs.get(syncs.size() - 1);
        return last.announcement() != null && last.announcement().state() == EndpointState.LEAVING;
    }

    private static ProgramKey program(String id) {
        return ProgramKey.of(OrganisationId.of("open"), ProgramId.of(id));
    }
}
