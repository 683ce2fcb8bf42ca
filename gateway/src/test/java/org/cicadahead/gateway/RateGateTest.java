package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.fleet.Allotment;
import org.cicadahead.fleet.Allotments;
import org.cicadahead.fleet.AskAllotments;
import org.cicadahead.fleet.Standing;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.site.SiteOrganisation;
import org.junit.jupiter.api.Test;

/** Requests that wait for a share of their organisation's rate. */
class RateGateTest {
    private static final SiteOrganisation LIMITED = new SiteOrganisation("o", List.of(), 10, 10, null);

    private final List<AskAllotments> asks = new ArrayList<>();
    private final List<CompletableFuture<Allotments>> answers = new ArrayList<>();
    private final List<GatewayRefusal> decisions = new ArrayList<>();
    private long now = 1_000;
    private final RateGate gate = new RateGate(
            "e",
            ask -> {
                asks.add(ask);
                answers.add(new CompletableFuture<>());
                return answers.get(answers.size() - 1);
            },
            () -> now);

    private void answer(int extra) {
        answers.get(answers.size() - 1).complete(new Allotments(5_000, List.of(new Allotment("o", 0, 0, 0, extra))));
    }

    private void admit(Standing standing) {
        gate.admit(LIMITED, standing, decisions::add);
    }

    /** Guards against the refusal of a request that came after the leader was asked for others. */
    @Test
    void aRequestThatCameDuringAnAskIsAskedForNext() {
        admit(Standing.CALL);
        admit(Standing.CALL);
        now += 5;
        answer(1);
        assertThat(decisions).containsExactly((GatewayRefusal) null);
        assertThat(asks).hasSize(2);
        assertThat(asks.get(1).needs().get(0).urgent()).containsExactly(Standing.CALL, 1);
        now += 5;
        answer(1);
        assertThat(decisions).containsExactly(null, null);
    }

    /** Guards against a request that waits for a rate which the leader does not have. */
    @Test
    void aRequestBeyondTheRateIsRefusedWithTheAnswer() {
        admit(Standing.CALL);
        now += 5;
        answer(0);
        assertThat(decisions).hasSize(1);
        assertThat(decisions.get(0).reason()).isEqualTo(RefusalReason.RATE_LIMITED);
        assertThat(decisions.get(0).retryAfterMillis()).isGreaterThan(0L);
    }

    /** Guards against a refusal as "over the rate" where only the leader is missing. */
    @Test
    void withoutALeaderTheRefusalSaysSo() {
        admit(Standing.CALL);
        answers.get(0).completeExceptionally(new IllegalStateException("no leader"));
        now += RateGate.WAIT_MILLIS;
        gate.tick();
        assertThat(decisions.get(0).reason()).isEqualTo(RefusalReason.RATE_GRANT_UNAVAILABLE);
    }

    /** Guards against new programs that go before calls of programs under way. */
    @Test
    void callsGoFirst() {
        admit(Standing.BEGINNING);
        List<GatewayRefusal> call = new ArrayList<>();
        gate.admit(LIMITED, Standing.CALL, call::add);
        now += 5;
        answer(1);
        assertThat(call).containsExactly((GatewayRefusal) null);
        assertThat(decisions).isEmpty();
    }

    /** Guards against requests that use up the rate without having run. */
    @Test
    void aTokenThatIsGivenBackServesAnother() {
        admit(Standing.CALL);
        now += 5;
        answers.get(0).complete(new Allotments(5_000, List.of(new Allotment("o", 0, 1, 1, 0))));
        assertThat(decisions).containsExactly((GatewayRefusal) null);
        gate.giveBack(LIMITED);
        admit(Standing.CALL);
        assertThat(decisions).containsExactly(null, null);
    }
}
