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

/** Tests requests that wait for a share of their organisation's rate. */
class RateLimiterTest {
    private static final SiteOrganisation LIMITED = new SiteOrganisation("o", List.of(), 10, 10, null);

    private final List<RequestQuota> shareRequests = new ArrayList<>();
    private final List<CompletableFuture<QuotaShares>> shareResponses = new ArrayList<>();
    private final List<GatewayRefusal> decisions = new ArrayList<>();
    private long now = 1_000;
    private final RateLimiter limiter = new RateLimiter(
            "e",
            shareRequest -> {
                shareRequests.add(shareRequest);
                shareResponses.add(new CompletableFuture<>());
                return shareResponses.get(shareResponses.size() - 1);
            },
            () -> now);

    private void answerWithExtra(int extra) {
        shareResponses
                .get(shareResponses.size() - 1)
                .complete(new QuotaShares(5_000, List.of(new QuotaShare("o", 0, 0, 0, extra))));
    }

    private void admit(PriorityClass priority) {
        limiter.admit(LIMITED, priority, decisions::add);
    }

    /**
     * A request that arrives while a request for shares is pending is not covered by the pending response. It must be
     * included in the next request for shares, not refused.
     */
    @Test
    void aRequestThatArrivesDuringAPendingRequestIsIncludedNext() {
        admit(PriorityClass.CALL);
        admit(PriorityClass.CALL);
        now += 5;
        answerWithExtra(1);
        assertThat(decisions).containsExactly((GatewayRefusal) null);
        assertThat(shareRequests).hasSize(2);
        assertThat(shareRequests.get(1).needs().get(0).urgent()).containsExactly(PriorityClass.CALL, 1);
        now += 5;
        answerWithExtra(1);
        assertThat(decisions).containsExactly(null, null);
    }

    /** A request over the rate must be refused on the leader's response, without a further wait. */
    @Test
    void aRequestOverTheRateIsRefusedOnTheResponse() {
        admit(PriorityClass.CALL);
        now += 5;
        answerWithExtra(0);
        assertThat(decisions).hasSize(1);
        assertThat(decisions.get(0).reason()).isEqualTo(RefusalReason.RATE_LIMITED);
        assertThat(decisions.get(0).retryAfterMillis()).isGreaterThan(0L);
    }

    /** If no leader responds, the request must not be refused as over the rate, because the rate may not be used up. */
    @Test
    void aRefusalWithoutALeaderIsNotRateLimited() {
        admit(PriorityClass.CALL);
        shareResponses.get(0).completeExceptionally(new IllegalStateException("no leader"));
        now += RateLimiter.MAX_WAIT_MILLIS;
        limiter.tick();
        assertThat(decisions.get(0).reason()).isEqualTo(RefusalReason.RATE_GRANT_UNAVAILABLE);
    }

    /** A tool call that arrives after a request of a new program must be admitted before it. */
    @Test
    void callsHavePriority() {
        admit(PriorityClass.NEW);
        List<GatewayRefusal> call = new ArrayList<>();
        limiter.admit(LIMITED, PriorityClass.CALL, call::add);
        now += 5;
        answerWithExtra(1);
        assertThat(call).containsExactly((GatewayRefusal) null);
        assertThat(decisions).isEmpty();
    }

    /** The token of a request that was admitted but did not run must be available to another request. */
    @Test
    void aRefundedTokenServesAnother() {
        admit(PriorityClass.CALL);
        now += 5;
        shareResponses.get(0).complete(new QuotaShares(5_000, List.of(new QuotaShare("o", 0, 1, 1, 0))));
        assertThat(decisions).containsExactly((GatewayRefusal) null);
        limiter.refund(LIMITED);
        admit(PriorityClass.CALL);
        assertThat(decisions).containsExactly(null, null);
    }

    /** A renewal at every tick would saturate the links and the leader's processor with many organisations. */
    @Test
    void sharesAreRenewedOnceASecond() {
        admit(PriorityClass.CALL);
        now += 5;
        shareResponses.get(0).complete(new QuotaShares(5_000, List.of(new QuotaShare("o", 5, 5, 5, 0))));
        int before = shareRequests.size();
        for (int tick = 0; tick < 40; tick++) {
            now += 50;
            limiter.tick();
            shareResponses.get(shareResponses.size() - 1).complete(new QuotaShares(5_000, List.of()));
        }
        assertThat(shareRequests.size() - before).isAtMost(3);
        assertThat(shareRequests.size() - before).isAtLeast(2);
    }

    /**
     * A request for shares on behalf of a waiting request must not include all organisations, because with many of them
     * it would saturate the links and the leader's processor.
     */
    @Test
    void aRequestForWaitersNamesOnlyTheirOrganisations() {
        admit(PriorityClass.CALL);
        now += 5;
        shareResponses.get(0).complete(new QuotaShares(5_000, List.of(new QuotaShare("o", 5, 5, 5, 0))));
        now += 50;
        SiteOrganisation other = new SiteOrganisation("p", List.of(), 10, 10, null);
        limiter.admit(other, PriorityClass.CALL, decisions::add);
        RequestQuota last = shareRequests.get(shareRequests.size() - 1);
        assertThat(last.needs().stream().map(QuotaNeed::organisation).toList()).containsExactly("p");
    }

    /** A failed renewal must be retried at the next tick, not only after the renewal interval. */
    @Test
    void aFailedRenewalIsRetriedAtTheNextTick() {
        admit(PriorityClass.CALL);
        shareResponses.get(0).completeExceptionally(new IllegalStateException("no leader"));
        int before = shareRequests.size();
        now += 50;
        limiter.tick();
        assertThat(shareRequests.size()).isEqualTo(before + 1);
        assertThat(shareRequests.get(shareRequests.size() - 1).needs()).hasSize(1);
    }

    /**
     * The retry delay must be the time until the rate allows the request, which grows with its position in the queue.
     */
    @Test
    void aRefusalStatesWhenTheRateAllowsAnother() {
        for (int i = 0; i < 3; i++) {
            admit(PriorityClass.CALL);
        }
        now += 5;
        answerWithExtra(0);
        answerWithExtra(0);
        assertThat(decisions.stream().map(GatewayRefusal::retryAfterMillis).toList())
                .containsExactly(100L, 100L, 200L);
    }
}
