package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.fleet.FleetUpdate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests to an endpoint that has stated in a response that it is leaving. */
class LeavingEndpointsTest {
    private static final int REQUESTS = 30;
    /** The time between two starts of an endpoint. */
    private static final long RESTART_MILLIS = 3_000;
    /** The time for which an endpoint that rejects a request is avoided in any case. */
    private static final long REJECTION_BACKOFF_MILLIS = 60;

    private final GatewayFixture gateway = new GatewayFixture();
    private final FakeEndpoints endpoints = gateway.endpoints;
    private int attempts;

    @AfterEach
    void stop() {
        gateway.timer.shutdownNow();
    }

    private FakeEndpoints.Sent send(String path) {
        CallerRequest request = GatewayFixture.request("a" + ++attempts, "POST", path, "k", 2_000);
        RequestFlow.serve(gateway.context, request, new FakeExchange());
        return endpoints.last();
    }

    /** Returns the endpoints that a series of requests goes to. */
    private Set<String> used() {
        Set<String> used = new HashSet<>();
        for (int i = 0; i < REQUESTS; i++) {
            FakeEndpoints.Sent sent = send("/once/x");
            used.add(sent.request.instance());
            sent.answer(200, "done");
        }
        return used;
    }

    private void heartbeat(String id, long born, long sequence) {
        EndpointRecord ready =
                new EndpointRecord(id, born, sequence, "s", id + ":1", "z", 4, EndpointPhase.READY, 0, "");
        gateway.selector.applyUpdate(FleetUpdate.of(ready), GatewayNode.nowMillis());
    }

    private String leaveDuring(String path, int status, boolean signature, boolean notRun) {
        FakeEndpoints.Sent sent = send(path);
        sent.leaving = true;
        sent.head(status, signature, notRun);
        return sent.request.instance();
    }

    /** Answers, failures, rejections and the heads of streams all state it. */
    @Test
    void isNotUsedAfterAnyOfItsResponsesSaysSo() {
        String answering = leaveDuring("/once/x", 200, true, false);
        assertThat(used()).doesNotContain(answering);
        String streaming = leaveDuring("/stream/x", 200, true, false);
        assertThat(streaming).isNotEqualTo(answering);
        Set<String> rest = used();
        assertThat(rest).containsNoneOf(answering, streaming);
        assertThat(rest).hasSize(1);
    }

    /** Responses that are retried elsewhere state it as well. */
    @Test
    void isNotUsedAfterItsRejectionSaysSo() {
        String rejecting = leaveDuring("/once/x", 503, false, true);
        endpoints.last().answer(200, "done");
        String failing = leaveDuring("/safe/x", 500, true, false);
        endpoints.last().answer(200, "done");
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2 * REJECTION_BACKOFF_MILLIS));
        assertThat(used()).containsNoneOf(rejecting, failing);
    }

    /** A hub that has not heard of it yet goes on to report the endpoint as ready. */
    @Test
    void staysUnusedWhenAHubReportsItAsReady() {
        String leaving = leaveDuring("/once/x", 200, true, false);
        endpoints.last().listener.end();
        heartbeat(leaving, 0, 5);
        assertThat(used()).doesNotContain(leaving);
    }

    /** The hubs may report the start of an incarnation only after it has stated that it leaves. */
    @Test
    void aLateReportOfTheIncarnationThatLeavesDoesNotReturnIt() {
        long bornMillis = System.currentTimeMillis() - RESTART_MILLIS;
        String leaving = leaveDuring("/once/x", 200, true, false);
        endpoints.last().listener.end();
        heartbeat(leaving, bornMillis, 1);
        assertThat(leaveDuring("/stream/x", 200, true, false)).isNotEqualTo(leaving);
        assertThat(leaveDuring("/stream/x", 200, true, false)).isNotEqualTo(leaving);
        int sent = endpoints.sent.size();
        send("/once/x");
        assertThat(endpoints.sent).hasSize(sent);
    }

    /** An endpoint that starts again under its id has not left. */
    @Test
    void itsNextIncarnationIsUsed() {
        String leaving = leaveDuring("/once/x", 200, true, false);
        heartbeat(leaving, System.currentTimeMillis() + RESTART_MILLIS, 1);
        assertThat(used()).contains(leaving);
    }

    /** A late copy of a response to another request tells nothing about the endpoint that serves this one. */
    @Test
    void ignoresTheStatementOfACopy() {
        Set<String> left =
                Set.of(leaveDuring("/stream/x", 200, true, false), leaveDuring("/stream/x", 200, true, false));
        FakeEndpoints.Sent last = send("/once/x");
        assertThat(left).doesNotContain(last.request.instance());
        last.listener.head(new ResponseHead(200, List.of(), "earlier", true, false, OptionalDouble.empty(), true));
        assertThat(used()).containsExactly(last.request.instance());
    }
}
