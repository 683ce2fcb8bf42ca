package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.cicadahead.model.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against endpoints that get more requests than they state to accept, and against needless refusals. */
class LimitedEndpointsTest {
    private final GatewayFixture gateway = new GatewayFixture();
    private final FakeEndpoints endpoints = gateway.endpoints;
    private final FakeExchange caller = new FakeExchange();

    @AfterEach
    void stop() {
        gateway.timer.shutdownNow();
    }

    private void serve(CallerRequest request, FakeExchange exchange) {
        RequestFlow.serve(gateway.context, request, exchange);
    }

    private void sendOnce() {
        serve(GatewayFixture.request("attempt", "POST", "/once/x", "k", 2_000), caller);
    }

    /** An endpoint that states a limit must not get more requests than that while others are free. */
    @Test
    void requestsOverTheLimitOfAnEndpointGoToOthers() {
        String limited = "a";
        int toLimited = 0;
        for (int i = 0; i < 200; i++) {
            FakeExchange exchange = new FakeExchange();
            serve(GatewayFixture.safe("n" + i), exchange);
            FakeEndpoints.Sent sent = endpoints.last();
            if (sent.request.instance().equals(limited)) {
                toLimited++;
                sent.requestLimit = OptionalDouble.of(5);
            }
            sent.answer(200, "done");
            assertThat(exchange.ended).isTrue();
        }
        assertThat(toLimited).isAtMost((int) (1.5 * 5 * 4) + 5);
    }

    /** What no endpoint accepts now must be refused as not run, with the time at which one does. */
    @Test
    void isRefusedWithTheTimeOfTheNextTokenWhenAllEndpointsAreAtTheirLimit() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            serve(GatewayFixture.safe("n" + i), new FakeExchange());
            endpoints.last().requestLimit = OptionalDouble.of(0.5);
            endpoints.last().reject();
            endpoints.last().requestLimit = OptionalDouble.of(0.5);
            endpoints.last().reject();
            endpoints.last().requestLimit = OptionalDouble.of(0.5);
            endpoints.last().reject();
        }
        int sent = endpoints.sent.size();
        sendOnce();
        assertThat(caller.refused.await(1, TimeUnit.SECONDS)).isTrue();
        assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.ENDPOINT_OVERLOADED);
        assertThat(caller.refusal.reason().notRun()).isTrue();
        assertThat(caller.refusal.retryAfterMillis()).isGreaterThan(1_000);
        assertThat(caller.refusal.retryAfterMillis()).isAtMost(2_000);
        assertThat(endpoints.sent).hasSize(sent);
    }

    /** A request whose turn at an endpoint comes within a moment is served, as its caller would return later. */
    @Test
    void waitsBrieflyForTheLimitOfAnEndpoint() throws InterruptedException {
        for (String attempt : List.of("n1", "n2", "n3")) {
            serve(GatewayFixture.safe(attempt), new FakeExchange());
            endpoints.last().requestLimit = OptionalDouble.of(20);
            endpoints.last().answer(200, "done");
        }
        int sent = endpoints.sent.size();
        gateway.delays.clear();
        sendOnce();
        assertThat(endpoints.awaitSent(sent + 1, 2_000)).isTrue();
        assertThat(endpoints.sent).hasSize(sent + 1);
        assertThat(caller.refusal).isNull();
        // The first delay is that of the deadline, all others are waits.
        for (long waitMillis : gateway.delays.subList(1, gateway.delays.size())) {
            assertThat(waitMillis).isAtMost(150L);
        }
    }
}
