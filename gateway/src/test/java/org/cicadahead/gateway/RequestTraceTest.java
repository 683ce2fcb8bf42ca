package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.cicadahead.model.RequestFingerprint;
import org.junit.jupiter.api.Test;

/** Tests the line of a request in the decision log, which is all that an on-call engineer has to explain a decision. */
class RequestTraceTest {

    private static EndpointRecord endpoint(String id, String version) {
        return new EndpointRecord(id, 0, 1, "s", id + ":1", "z", 4, EndpointPhase.READY, 0, version);
    }

    private static CallerRequest request(long lastEventId, String resumedAttempt) {
        return new CallerRequest(
                "a",
                "GET",
                "/",
                "/",
                "h",
                List.of(),
                new byte[0],
                null,
                -1,
                null,
                "",
                List.of(),
                List.of(),
                0,
                lastEventId,
                resumedAttempt,
                0);
    }

    /** Without the stated limit, a request sent over it cannot be told from one to an endpoint that states none. */
    @Test
    void namesTheVersionAndTheRequestLimitOfAnEndpoint() {
        RequestTrace trace = new RequestTrace(request(-1, ""));
        trace.attempt(endpoint("e1", "v1"), "rejected", new ResponseSummary(503, OptionalDouble.of(6.5), null), 1, 3);
        trace.attempt(endpoint("e2", "v2"), "ok", ResponseSummary.NONE, 4, 9);
        String line = trace.line("answered", 200, 0, 9, 0);
        assertThat(line)
                .contains("\"attempts\":[{\"endpoint\":\"e1\",\"version\":\"v1\",\"outcome\":\"rejected\","
                        + "\"status\":503,\"request_limit\":6.5,\"at_ms\":1,\"ms\":2},"
                        + "{\"endpoint\":\"e2\",\"version\":\"v2\",\"outcome\":\"ok\",\"at_ms\":4,\"ms\":5}]");
        assertThat(line).doesNotContain("resumes");
    }

    /**
     * Without the time of writing, an attempt that waited for a connection cannot be told from a slow endpoint; without
     * the fingerprint, a repetition that is not recognised cannot be told from another request.
     */
    @Test
    void namesTheTimeHandedOnAndTheFingerprintOfASuspect() {
        RequestFingerprint suspect = RequestFingerprint.of("o", "GET", "/", new byte[0]);
        RequestTrace trace = new RequestTrace(request(-1, ""));
        trace.written(new RequestTrace.Writing(700, 2_300));
        trace.suspected(suspect);
        trace.attempt(endpoint("e1", "v1"), "lost", ResponseSummary.NONE, 1, 703);
        trace.attempt(endpoint("e2", "v1"), "not_sent", ResponseSummary.NONE, 703, 704);
        assertThat(trace.line("endpoint_lost", 502, 0, 704, 0))
                .contains("\"at_ms\":1,\"ms\":702,\"written_ms\":700,\"handed_ms\":2300,\"suspect\":\"" + suspect
                        + "\"},{\"endpoint\":\"e2\",\"version\":\"v1\",\"outcome\":\"not_sent\",\"at_ms\":703,"
                        + "\"ms\":1}]");
    }

    /** Without the resumed attempt, the parts of a stream that two entries have sent cannot be brought together. */
    @Test
    void namesTheAttemptThatARequestResumes() {
        RequestTrace trace = new RequestTrace(request(3, "first"));
        assertThat(trace.line("streamed", 200, 0, 9, 0)).contains("\"last_event\":3,\"resumes\":\"first\"");
    }

    /** Without the events of each attempt, a stream that ended early cannot be told from one that was complete. */
    @Test
    void namesTheEventsThatEachAttemptAdded() {
        RequestTrace trace = new RequestTrace(request(-1, ""));
        trace.attempt(endpoint("e1", "v"), "lost", streamed(-1, 1, 3, 3), 1, 3);
        trace.attempt(endpoint("e2", "v"), "ok", streamed(3, -1, -1, 0), 4, 9);
        assertThat(trace.line("streamed", 200, 0, 9, 0))
                .contains("\"outcome\":\"lost\",\"status\":200,"
                        + "\"after\":-1,\"first\":1,\"last\":3,\"events\":3,\"at_ms\":1,\"ms\":2},"
                        + "{\"endpoint\":\"e2\",\"version\":\"v\",\"outcome\":\"ok\",\"status\":200,"
                        + "\"after\":3,\"first\":-1,\"last\":-1,\"events\":0,");
    }

    private static ResponseSummary streamed(long after, long first, long last, int events) {
        return new ResponseSummary(
                200, OptionalDouble.empty(), new ResponseSummary.StreamPart(after, first, last, events));
    }
}
