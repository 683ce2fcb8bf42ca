package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream that breaks off, is resumed at an endpoint that fails, and reaches its caller framed as
 * complete.
 */
class ResumptionFailureTest {
    private static final String EVENT_1 = "id: 1\ndata: d1\n\n";
    private static final List<Integer> STATUSES = List.of(302, 400, 404, 409, 422, 429, 500, 502, 503, 504);

    private final GatewayFixture gateway = new GatewayFixture();
    private final FakeEndpoints endpoints = gateway.endpoints;
    private int calls;

    @AfterEach
    void stop() {
        gateway.timer.shutdownNow();
    }

    /** Returns the ways in which the first endpoint breaks off behind its first event. */
    private static Map<String, Consumer<FakeEndpoints.Sent>> breaks() {
        Map<String, Consumer<FakeEndpoints.Sent>> rows = new LinkedHashMap<>();
        rows.put("reset behind an event", sent -> sent.listener.failed(true, "reset"));
        rows.put("reset inside an event", sent -> {
            sent.data("id: 2\ndata: hal");
            sent.listener.failed(true, "reset");
        });
        rows.put("end inside an event", sent -> {
            sent.data("id: 2\ndata: hal");
            sent.listener.end();
        });
        rows.put("end inside the id of an event", sent -> {
            sent.data("id");
            sent.listener.end();
        });
        return rows;
    }

    /** Returns the failures with which an endpoint answers the request for the rest. */
    private static Map<String, Consumer<FakeEndpoints.Sent>> failures() {
        Map<String, Consumer<FakeEndpoints.Sent>> rows = new LinkedHashMap<>();
        for (int status : STATUSES) {
            for (boolean signature : List.of(true, false)) {
                for (String body : List.of("", "the endpoint failed", "id: 2\ndata: failed\n\n", "\n\n")) {
                    rows.put(status + (signature ? " signed " : " ") + body.replace("\n", "|"), sent -> {
                        sent.head(status, signature, false);
                        if (!body.isEmpty()) {
                            sent.data(body);
                        }
                        sent.listener.end();
                    });
                }
            }
        }
        return rows;
    }

    private FakeExchange call(String path) {
        FakeExchange caller = new FakeExchange();
        RequestFlow.serve(gateway.context, GatewayFixture.request("a" + ++calls, "POST", path, "k", 60_000), caller);
        return caller;
    }

    private void begin() {
        endpoints.last().head(200, true, false);
        endpoints.last().event(1);
    }

    /** Adds a row to the wrong ones unless all its endpoints were asked and the caller has one event and a reset. */
    private void check(String row, int asked, FakeExchange caller, TreeSet<String> wrong) {
        if (endpoints.sent.size() != asked) {
            wrong.add(row + ": " + endpoints.sent.size() + " endpoints asked");
        }
        endpoints.sent.clear();
        if (caller.ended || !caller.reset || !caller.body.toString().equals(EVENT_1)) {
            wrong.add(row + (caller.ended ? ": ended with " : ": broken off with ") + caller.body);
        }
    }

    /** The route has no attempt left, so that the failure of the second endpoint is the last response. */
    @Test
    void aFailedResumptionDoesNotCompleteTheStream() {
        TreeSet<String> wrong = new TreeSet<>();
        breaks().forEach((broken, breakOff) -> failures().forEach((failed, fail) -> {
            FakeExchange caller = call("/resume/x");
            begin();
            breakOff.accept(endpoints.last());
            fail.accept(endpoints.last());
            check(broken + ", " + failed, 2, caller, wrong);
        }));
        assertThat(wrong).isEmpty();
    }

    /** The second of three endpoints fails to resume the stream, and so does the third, in any other way. */
    @Test
    void aSecondFailedResumptionDoesNotCompleteTheStream() {
        TreeSet<String> wrong = new TreeSet<>();
        breaks().forEach((broken, breakOff) -> failures().forEach((failed, fail) -> {
            for (int other : STATUSES) {
                FakeExchange caller = call("/resume3/x");
                begin();
                breakOff.accept(endpoints.last());
                endpoints.last().answer(other, "failed before");
                fail.accept(endpoints.last());
                check(broken + ", " + other + ", " + failed, 3, caller, wrong);
            }
        }));
        assertThat(wrong).isEmpty();
    }

    /** Returns a request whose caller has received the event with an id in an earlier attempt; -1 if none. */
    private CallerRequest request(long lastEventId) {
        CallerRequest plain = GatewayFixture.request("a" + ++calls, "POST", "/resume/x", "k", 60_000);
        return new CallerRequest(
                plain.attempt(),
                plain.method(),
                plain.target(),
                plain.path(),
                plain.host(),
                plain.fields(),
                plain.body(),
                plain.key(),
                plain.timeLeftMillis(),
                null,
                "",
                List.of(),
                List.of(),
                0,
                lastEventId,
                lastEventId < 0 ? "" : "first",
                plain.receivedMillis());
    }

    private void checkTurns(long lastEventId) throws RefusedException {
        TreeSet<String> wrong = new TreeSet<>();
        for (Map.Entry<String, Consumer<FakeEndpoints.Sent>> broken : breaks().entrySet()) {
            for (Map.Entry<String, Consumer<FakeEndpoints.Sent>> failed :
                    failures().entrySet()) {
                CallerRequest request = request(lastEventId);
                FakeExchange caller = new FakeExchange();
                RecordingTurn turn = new RecordingTurn();
                EndpointAttempts.start(
                        new RequestScope(gateway.context, request, caller),
                        Admission.admit(request, gateway.context.site()),
                        new byte[0],
                        turn,
                        StreamVersions.any());
                begin();
                broken.getValue().accept(endpoints.last());
                failed.getValue().accept(endpoints.last());
                String row = broken.getKey() + ", " + failed.getKey();
                check(row, 2, caller, wrong);
                if (!turn.calls.equals(List.of("incomplete"))) {
                    wrong.add(row + ": turn closed as " + turn.calls);
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** Later turns of a program continue a kept turn, so that one that broke off must not be kept. */
    @Test
    void aTurnIsNotKeptAfterAFailedResumption() throws RefusedException {
        checkTurns(-1);
    }

    /** A stream that its caller has resumed breaks off again, and the entry's own resumption fails. */
    @Test
    void aFailedResumptionDoesNotCompleteAStreamThatItsCallerResumed() throws RefusedException {
        checkTurns(0);
    }

    /** Whatever decides on responses, one that is not a part of the stream must not end it as complete. */
    @Test
    void anAnswerWithinAStreamResetsIt() {
        CallerRequest request = request(-1);
        FakeExchange caller = new FakeExchange();
        RequestScope scope = new RequestScope(gateway.context, request, caller);
        scope.chunk(head(request, 200), EVENT_1.getBytes(StandardCharsets.UTF_8));
        scope.answer(head(request, 500), "the endpoint failed".getBytes(StandardCharsets.UTF_8), 1);
        assertThat(caller.body.toString()).isEqualTo(EVENT_1);
        assertThat(caller.reset).isTrue();
        assertThat(caller.ended).isFalse();
        assertThat(scope.isDone()).isTrue();
    }

    private static ResponseHead head(CallerRequest request, int status) {
        return new ResponseHead(status, List.of(), request.attempt(), true, false, OptionalDouble.empty(), false);
    }
}
