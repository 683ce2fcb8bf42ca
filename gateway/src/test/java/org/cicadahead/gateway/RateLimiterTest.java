package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.fleet.QuotaNeed;
import org.cicadahead.fleet.QuotaShare;
import org.cicadahead.fleet.QuotaShares;
import org.cicadahead.fleet.RequestQuota;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.site.SiteOrganisation;
import org.junit.jupiter.api.Test;

/** Requests that wait for a share of their organisation's rate. */
class RateLimiterTest {
    private static final SiteOrganisation LIMITED = new SiteOrganisation("o", List.of(), 10, 10, null);

    private final List<RequestQuota> asks = new ArrayList<>();
    private final List<CompletableFuture<QuotaShares>> answers = new ArrayList<>();
    private final List<GatewayRefusal> decisions = new ArrayList<>();
    private long now = 1_000;
    private final RateLimiter gate = new RateLimiter(
            "e",
            ask -> {
                asks.add(ask);
                answers.add(new CompletableFuture<>());
                return answers.get(answers.size() - 1);
            },
            () -> now);

    private void answer(int extra) {
        answers.get(answers.size() - 1).complete(new QuotaShares(5_000, List.of(new QuotaShare("o", 0, 0, 0, extra))));
    }

    private void admit(PriorityClass priority) {
        gate.admit(LIMITED, priority, decisions::add);
    }

    /** Guards against the refusal of a request that came after the leader was asked for others. */
    @Test
    void aRequestThatCameDuringAnAskIsAskedForNext() {
        admit(PriorityClass.CALL);
        admit(PriorityClass.CALL);
        now += 5;
        answer(1);
        assertThat(decisions).containsExactly((GatewayRefusal) null);
        assertThat(asks).hasSize(2);
        assertThat(asks.get(1).needs().get(0).urgent()).containsExactly(PriorityClass.CALL, 1);
        now += 5;
        answer(1);
        assertThat(decisions).containsExactly(null, null);
    }

    /** Guards against a request that waits for a rate which the leader does not have. */
    @Test
    void aRequestBeyondTheRateIsRefusedWithTheAnswer() {
        admit(PriorityClass.CALL);
        now += 5;
        answer(0);
        assertThat(decisions).hasSize(1);
        assertThat(decisions.get(0).reason()).isEqualTo(RefusalReason.RATE_LIMITED);
        assertThat(decisions.get(0).retryAfterMillis()).isGreaterThan(0L);
    }

    /** Guards against a refusal as "over the rate" where only the leader is missing. */
    @Test
    void withoutALeaderTheRefusalSaysSo() {
        admit(PriorityClass.CALL);
        answers.get(0).completeExceptionally(new IllegalStateException("no leader"));
        now += RateLimiter.WAIT_MILLIS;
        gate.tick();
        assertThat(decisions.get(0).reason()).isEqualTo(RefusalReason.RATE_GRANT_UNAVAILABLE);
    }

    /** Guards against new programs that go before calls of programs under way. */
    @Test
    void callsGoFirst() {
        admit(PriorityClass.NEW);
        List<GatewayRefusal> call = new ArrayList<>();
        gate.admit(LIMITED, PriorityClass.CALL, call::add);
        now += 5;
        answer(1);
        assertThat(call).containsExactly((GatewayRefusal) null);
        assertThat(decisions).isEmpty();
    }

    /** Guards against requests that use up the rate without having run. */
    @Test
    void aTokenThatIsGivenBackServesAnother() {
        admit(PriorityClass.CALL);
        now += 5;
        answers.get(0).complete(new QuotaShares(5_000, List.of(new QuotaShare("o", 0, 1, 1, 0))));
        assertThat(decisions).containsExactly((GatewayRefusal) null);
        gate.giveBack(LIMITED);
        admit(PriorityClass.CALL);
        assertThat(decisions).containsExactly(null, null);
    }

    /** Guards against an ask at each tick, which with many organisations fills links and the leader's processor. */
    @Test
    void sharesAreRenewedOnceASecond() {
        admit(PriorityClass.CALL);
        now += 5;
        answers.get(0).complete(new QuotaShares(5_000, List.of(new QuotaShare("o", 5, 5, 5, 0))));
        int before = asks.size();
        for (int tick = 0; tick < 40; tick++) {
            now += 50;
            gate.tick();
            answers.get(answers.size() - 1).complete(new QuotaShares(5_000, List.of()));
        }
        assertThat(asks.size() - before).isAtMost(3);
        assertThat(asks.size() - before).isAtLeast(2);
    }

    /** Guards against an ask that names all organisations for the sake of one waiting request. */
    @Test
    void anAskForWaitingRequestsNamesOnlyTheirOrganisations() {
        admit(PriorityClass.CALL);
        now += 5;
        answers.get(0).complete(new QuotaShares(5_000, List.of(new QuotaShare("o", 5, 5, 5, 0))));
        now += 50;
        SiteOrganisation other = new SiteOrganisation("p", List.of(), 10, 10, null);
        gate.admit(other, PriorityClass.CALL, decisions::add);
        RequestQuota last = asks.get(asks.size() - 1);
        assertThat(last.needs().stream().map(QuotaNeed::organisation).toList()).containsExactly("p");
    }

    /** Guards against a renewal that is lost with its answer and comes only a second later. */
    @Test
    void aRenewalThatFailedIsRepeatedAtOnce() {
        admit(PriorityClass.CALL);
        answers.get(0).completeExceptionally(new IllegalStateException("no leader"));
        int before = asks.size();
        now += 50;
        gate.tick();
        assertThat(asks.size()).isEqualTo(before + 1);
        assertThat(asks.get(asks.size() - 1).needs()).hasSize(1);
    }

    /** Guards against a time to come back that is far from when the rate allows the next request. */
    @Test
    void aRefusalTellsWhenTheRateAllowsAnother() {
        for (int i = 0; i < 3; i++) {
            admit(PriorityClass.CALL);
        }
        now += 5;
        answer(0);
        answer(0);
        assertThat(decisions.stream().map(GatewayRefusal::retryAfterMillis).toList())
                .containsExactly(100L, 100L, 200L);
    }
}
