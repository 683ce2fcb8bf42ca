package org.cicadahead.testbed.emulator;

import static com.google.common.truth.Truth.assertThat;
import static org.cicadahead.testbed.emulator.EndpointHarness.await;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.AbandonClaim;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.FinishClaim;
import org.cicadahead.protocol.RunEnd;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.StartClaim;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that run twice or are reported wrongly, over real connections. */
class ServiceEndpointTest {
    private ServiceEmulator service;
    private EndpointHarness harness;

    @BeforeEach
    void start() throws Exception {
        service = ServiceEmulator.start(0, ServiceOptions.immediate());
        harness = new EndpointHarness(EndpointKind.SERVICE, service.uri(), 8);
    }

    @AfterEach
    void close() throws IOException {
        harness.close();
        service.close();
    }

    @Test
    void claimIsStartedBeforeAndFinishedAfterTheOneCall() throws Exception {
        EndpointHarness.Answer answer = harness.call("k1");
        RunEnd end = answer.get();
        assertThat(end.refusal()).isNull();
        assertThat(end.status()).isEqualTo(200);
        assertThat(answer.body()).contains("\"key\":\"k1\"");
        assertThat(service.executions("k1")).isEqualTo(1);
        assertThat(harness.control.received(StartClaim.class)).hasSize(1);
        FinishClaim finish = harness.control.received(FinishClaim.class).get(0);
        assertThat(new String(finish.outcome().body(), StandardCharsets.UTF_8)).isEqualTo(answer.body());
        assertThat(service.journal().contains("ck_")).isFalse();
    }

    @Test
    void resetAfterExecutionIsAnUnknownOutcomeAndNotRepeated() throws Exception {
        service.faults().set(ServiceFault.RESET_AFTER, "1");
        RunEnd end = harness.call("k1").get();
        assertThat(end.refusal()).isEqualTo(RefusalReason.OUTCOME_UNKNOWN);
        assertThat(end.notRun()).isFalse();
        assertThat(service.executions("k1")).isEqualTo(1);
        assertThat(harness.control.received(FinishClaim.class).get(0).outcome()).isNull();
    }

    @Test
    void resetBeforeExecutionIsNotRepeatedEither() throws Exception {
        service.faults().set(ServiceFault.RESET_BEFORE, "1");
        RunEnd end = harness.call("k1").get();
        assertThat(end.notRun()).isFalse();
        assertThat(service.executions("k1")).isEqualTo(0);
        assertThat(service.journal().entries()).hasSize(1);
    }

    @Test
    void redirectIsPassedOnAndNotFollowed() throws Exception {
        service.faults().set(ServiceFault.REDIRECT, "1");
        assertThat(harness.call("k1").get().status()).isEqualTo(307);
        assertThat(service.journal().entries()).hasSize(1);
    }

    @Test
    void hangingServiceLeavesTheOutcomeUnknown() throws Exception {
        service.faults().set(ServiceFault.HANG, "1");
        EndpointHarness.Answer answer = harness.run(withDeadline("k1", 500));
        assertThat(answer.get().notRun()).isFalse();
        await(
                "the unknown outcome is recorded",
                () -> harness.control.received(FinishClaim.class).stream()
                        .anyMatch(finish -> finish.outcome() == null));
        assertThat(service.executions("k1")).isEqualTo(1);
    }

    @Test
    void lostAnswerToStartClaimMeansThatTheServiceIsNotCalled() throws Exception {
        harness.control.silentTypes.add("StartClaim");
        RunEnd end = harness.call("k1").get();
        assertThat(end.notRun()).isTrue();
        assertThat(harness.control.received(AbandonClaim.class)).isNotEmpty();
        assertThat(service.journal().entries()).isEmpty();
    }

    @Test
    void silentControlIsNotTakenForNotRunAndTheClaimIsAbandonedLater() throws Exception {
        harness.control.silentTypes.add("StartClaim");
        harness.control.silentTypes.add("AbandonClaim");
        RunEnd end = harness.run(withDeadline("k1", 300)).get();
        assertThat(end.refusal()).isEqualTo(RefusalReason.OUTCOME_UNCONFIRMED);
        assertThat(end.notRun()).isFalse();
        harness.control.silentTypes.clear();
        await(
                "the claim is abandoned",
                () -> !harness.control.received(AbandonClaim.class).isEmpty());
        assertThat(service.journal().entries()).isEmpty();
    }

    @Test
    void unreachableServiceReleasesTheClaim() throws Exception {
        service.faults().set(ServiceFault.DELAY_MILLIS, "0");
        harness.control.silentTypes.add("StartClaim");
        EndpointHarness.Answer answer = harness.call("k1");
        await(
                "the claim is being started",
                () -> !harness.control.received(StartClaim.class).isEmpty());
        service.close();
        harness.control.silentTypes.clear();
        RunEnd end = answer.get();
        assertThat(end.notRun()).isTrue();
        await(
                "the claim is abandoned",
                () -> !harness.control.received(AbandonClaim.class).isEmpty());
        assertThat(harness.control.received(FinishClaim.class)).isEmpty();
    }

    @Test
    void finishIsRetriedUntilControlAnswers() throws Exception {
        harness.control.silentTypes.add("FinishClaim");
        EndpointHarness.Answer answer = harness.call("k1");
        await(
                "the outcome is reported",
                () -> !harness.control.received(FinishClaim.class).isEmpty());
        assertThat(answer.end.isDone()).isFalse();
        harness.control.silentTypes.clear();
        assertThat(answer.get().status()).isEqualTo(200);
        assertThat(service.executions("k1")).isEqualTo(1);
    }

    private RunRequest withDeadline(String key, long deadlineMillis) {
        ClaimRef claim = new ClaimRef(ClaimKey.of(OrganisationId.of("acme"), IdempotencyKey.of(key)), 1);
        return harness.request("acme", null, "{}", 0, deadlineMillis, claim);
    }
}
