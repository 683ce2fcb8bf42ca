package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against streams that end as complete although events are missing, and against events that come twice. */
class StreamContinuityTest {
    private final GatewayFixture gateway = new GatewayFixture();
    private final FakeEndpoints endpoints = gateway.endpoints;
    private final FakeExchange caller = new FakeExchange();

    @AfterEach
    void stop() {
        gateway.timer.shutdownNow();
    }

    private void send(String path) {
        RequestFlow.serve(gateway.context, GatewayFixture.request("attempt", "POST", path, "k", 2_000), caller);
    }

    private void begin(int... ids) {
        endpoints.last().head(200, true, false);
        for (int id : ids) {
            endpoints.last().event(id);
        }
    }

    private void breakOff() {
        endpoints.last().listener.failed(true, "reset");
    }

    private void end() {
        endpoints.last().listener.end();
    }

    private static String events(int... ids) {
        StringBuilder text = new StringBuilder();
        for (int id : ids) {
            text.append("id: ").append(id).append("\ndata: d").append(id).append("\n\n");
        }
        return text.toString();
    }

    private void assertReset(String body) {
        assertThat(caller.ended).isFalse();
        assertThat(caller.reset).isTrue();
        assertThat(caller.body.toString()).isEqualTo(body);
    }

    private void assertComplete(String body) {
        assertThat(caller.reset).isFalse();
        assertThat(caller.ended).isTrue();
        assertThat(caller.body.toString()).isEqualTo(body);
    }

    /** A success without events does not show that the stream had no more events. */
    @Test
    void aResumedStreamWithoutEventsIsNotComplete() {
        send("/resume/x");
        begin(1, 2);
        breakOff();
        begin();
        end();
        assertReset(events(1, 2));
    }

    /** The events between the last one passed on and the first one of the resumed stream are missing. */
    @Test
    void aResumedStreamMustNotSkipEvents() {
        send("/resume/x");
        begin(1, 2);
        breakOff();
        begin(4, 5);
        end();
        assertReset(events(1, 2));
    }

    /** An endpoint that cannot resume the stream must not end it while another one may still do so. */
    @Test
    void aStreamGoesOnAtAFurtherEndpointIfEventsAreMissing() {
        send("/resume3/x");
        begin(1, 2);
        breakOff();
        begin(4);
        begin(3, 4);
        end();
        assertThat(endpoints.sent).hasSize(3);
        assertThat(endpoints.last().request.lastEventId()).isEqualTo(2);
        assertComplete(events(1, 2, 3, 4));
    }

    /** The distance between ids is that of the stream, as only their order is agreed on. */
    @Test
    void aResumedStreamMayCountInSteps() {
        send("/resume/x");
        begin(0, 35);
        breakOff();
        begin(70, 105);
        end();
        assertComplete(events(0, 35, 70, 105));
    }

    /** Ids without a fixed distance show no gap. */
    @Test
    void aResumedStreamMayCountUnevenly() {
        send("/resume/x");
        begin(1, 3, 4);
        breakOff();
        begin(9);
        end();
        assertComplete(events(1, 3, 4, 9));
    }

    /** An endpoint that ignores the last event id begins another run, whose events must not be joined to the first. */
    @Test
    void aResumedStreamMustNotStartAnew() {
        send("/resume/x");
        begin(1, 2);
        breakOff();
        begin(1, 2, 3);
        end();
        assertReset(events(1, 2));
    }

    /** A run that begins at the last event of the caller is another run, too. */
    @Test
    void aResumedStreamMustNotRepeatTheLastEvent() {
        send("/resume/x");
        begin(1, 2);
        breakOff();
        begin(2, 3);
        end();
        assertReset(events(1, 2));
    }

    /** A repetition up to the last event does not show that no event follows it in the stream of the caller. */
    @Test
    void aRepetitionUpToTheLastEventIsNotComplete() {
        send("/resume/x");
        begin(1, 2);
        breakOff();
        begin(1, 2);
        end();
        assertReset(events(1, 2));
    }

    /** A repetition that ends before the last event is not the stream that the caller has begun to read. */
    @Test
    void aRepetitionThatEndsBeforeTheLastEventIsNotComplete() {
        send("/resume/x");
        begin(1, 2);
        breakOff();
        begin(1);
        end();
        assertReset(events(1, 2));
    }

    /** A repetition that lacks the last event passed on counts its events differently. */
    @Test
    void aRepetitionMustContainTheLastEvent() {
        send("/resume/x");
        begin(1, 4, 5);
        breakOff();
        begin(1, 4, 6);
        end();
        assertReset(events(1, 4, 5));
    }

    /** Events whose ids go back are not dropped from a response that then counts as complete. */
    @Test
    void idsThatGoBackBreakAStreamOff() {
        send("/stream/x");
        begin(1, 2, 3, 2);
        end();
        assertReset(events(1, 2, 3));
    }

    /** A repeated id within one response breaks a stream off, also if the events differ. */
    @Test
    void anIdThatComesTwiceBreaksAStreamOff() {
        send("/stream/x");
        begin(1, 1);
        end();
        assertReset(events(1));
    }

    /** The events of one endpoint's whole response are passed on unchanged, whatever the distance of their ids. */
    @Test
    void aWholeResponseMaySkipIds() {
        send("/resume/x");
        begin(1, 2, 5);
        end();
        assertComplete(events(1, 2, 5));
    }

    /** Without an id, the place of an event in the stream is unknown, and a repetition would pass it on twice. */
    @Test
    void aStreamOfEventsWithoutIdsIsNotResumed() {
        send("/resume/x");
        begin(1);
        endpoints.last().data("data: text\n\n");
        breakOff();
        assertThat(endpoints.sent).hasSize(1);
        assertReset(events(1) + "data: text\n\n");
    }

    /** Events without an id among those that the caller has are repeated, too. */
    @Test
    void eventsWithoutIdsInARepetitionAreNotPassedOn() {
        send("/resume/x");
        endpoints.last().head(200, true, false);
        endpoints.last().data("data: text\n\n");
        endpoints.last().event(1);
        breakOff();
        endpoints.last().head(200, true, false);
        endpoints.last().data("data: text\n\n");
        endpoints.last().event(1);
        endpoints.last().event(2);
        end();
        assertThat(caller.body.toString().split("data: text", -1)).hasLength(2);
        assertThat(caller.ended).isFalse();
    }

    /** Comments have no place in the order of events and are passed on. */
    @Test
    void aStreamWithCommentsIsResumed() {
        send("/resume/x");
        begin(1);
        endpoints.last().data(": comment\n\n");
        breakOff();
        endpoints.last().head(200, true, false);
        endpoints.last().data(": comment\n\n");
        endpoints.last().event(2);
        end();
        assertComplete(events(1) + ": comment\n\n: comment\n\n" + events(2));
    }

    /** A stream of which the caller has received nothing starts anew, with any id. */
    @Test
    void aStreamThatBreaksOffBeforeItsFirstEventStartsAnew() {
        send("/resume/x");
        begin();
        endpoints.last().data("id: 7\nda");
        breakOff();
        begin(1, 2);
        end();
        assertComplete(events(1, 2));
    }

    /** The output of a stream that ended early must not be kept as a turn, which a later prompt would contain. */
    @Test
    void aStreamThatEndedEarlyIsNotKeptAsATurn() {
        CallerRequest request = GatewayFixture.request("attempt", "POST", "/resume/x", "k", 2_000);
        RequestScope scope = new RequestScope(gateway.context, request, caller);
        RecordingTurn turn = new RecordingTurn();
        AdmittedRequest admitted = admitted(request);
        EndpointAttempts.start(scope, admitted, new byte[0], turn, StreamVersions.any());
        begin(1, 2);
        breakOff();
        begin();
        end();
        assertThat(turn.calls).containsExactly("incomplete");
    }

    private AdmittedRequest admitted(CallerRequest request) {
        try {
            return Admission.admit(request, gateway.context.site());
        } catch (RefusedException e) {
            throw new AssertionError(e);
        }
    }

    /** Each response is checked on its own, and the last attempt decides. */
    @Test
    void gapsAtAllEndpointsResetTheStream() {
        send("/resume3/x");
        begin(1, 2);
        breakOff();
        begin(4);
        begin();
        end();
        assertThat(endpoints.sent).hasSize(3);
        assertThat(List.of(
                        endpoints.sent.get(1).request.lastEventId(),
                        endpoints.last().request.lastEventId()))
                .containsExactly(2L, 2L);
        assertReset(events(1, 2));
    }

    private void resume(String path, String attempt, long lastEventId) {
        CallerRequest plain = GatewayFixture.request(attempt, "POST", path, "k", 2_000);
        CallerRequest resuming = new CallerRequest(
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
                "first",
                plain.receivedMillis());
        RequestScope scope = new RequestScope(gateway.context, resuming, caller);
        EndpointAttempts.start(scope, admitted(resuming), new byte[0], new RecordingTurn(), StreamVersions.any());
    }

    /** Serves a whole stream to another caller. */
    private void serveOther(int... ids) {
        FakeExchange other = new FakeExchange();
        CallerRequest request = GatewayFixture.request("other" + ids.length, "POST", "/stream/x", "k", 2_000);
        RequestFlow.serve(gateway.context, request, other);
        begin(ids);
        end();
        assertThat(other.ended).isTrue();
    }

    /** One event shows no distance, so that a gap behind it is seen by what the service's other streams look like. */
    @Test
    void aGapBehindTheOnlyEventIsSeenFromOtherStreams() {
        serveOther(1, 2);
        send("/resume/x");
        begin(1);
        breakOff();
        begin(3);
        assertReset(events(1));
    }

    /** A caller that resumes its stream would join a response after a gap to the events that it has. */
    @Test
    void aGapBehindTheCallersLastEventIsSeenFromOtherStreams() {
        serveOther(1, 2, 3);
        resume("/resume/x", "a", 2);
        begin(4);
        begin(3, 4, 5);
        end();
        assertThat(endpoints.sent).hasSize(3);
        assertComplete(events(3, 4, 5));
    }

    /** A service whose streams count unevenly must not have its resumed streams broken off. */
    @Test
    void aServiceThatCountsUnevenlyShowsNoGap() {
        serveOther(1, 2);
        serveOther(10, 20, 25);
        resume("/resume/x", "a", 2);
        begin(4, 5);
        end();
        assertComplete(events(4, 5));
    }

    /** A caller that has all events but not the end receives an end without events. */
    @Test
    void aCallerMayResumeAfterTheLastEvent() {
        serveOther(1, 2);
        resume("/resume/x", "a", 2);
        begin();
        end();
        assertComplete("");
    }

    /** On a route whose streams are not resumed, the last event id of a caller says nothing about the response. */
    @Test
    void theLastEventIdOfACallerIsIgnoredWhereStreamsAreNotResumed() {
        resume("/stream/x", "a", 5);
        begin(1, 2);
        end();
        assertComplete(events(1, 2));
    }

    /** A sound endpoint whose response does not continue what another one began must not be avoided. */
    @Test
    void anEndpointIsNotAvoidedForAGap() {
        send("/resume/x");
        begin(1, 2);
        breakOff();
        begin();
        end();
        String instance = endpoints.last().request.instance();
        for (int i = 0; i < 20; i++) {
            RequestFlow.serve(gateway.context, GatewayFixture.safe("n" + i), new FakeExchange());
        }
        assertThat(endpoints.sent.stream().skip(2).map(each -> each.request.instance()))
                .contains(instance);
    }

    /** Passing an event on may show that the caller is gone, and the next event of the same chunk may be a fault. */
    @Test
    void aFaultBehindAnEventThatEndsTheRequestIsIgnored() {
        FakeExchange leaving = new FakeExchange() {
            @Override
            public void chunk(byte[] data) {
                disconnectAction.run();
            }
        };
        RequestFlow.serve(gateway.context, GatewayFixture.request("leaving", "POST", "/resume/x", "k", 2_000), leaving);
        endpoints.last().head(200, true, false);
        endpoints.last().data(events(1, 1));
        assertThat(endpoints.last().cancelled).isTrue();
    }

    /** After a response to a caller's resumption that broke off, an empty one does not show that nothing was left. */
    @Test
    void anEmptyResponseBehindOneThatBrokeOffIsNotComplete() {
        resume("/resume/x", "a", 2);
        begin();
        breakOff();
        begin();
        end();
        assertThat(caller.ended).isFalse();
        assertThat(caller.refusal.reason().notRun()).isFalse();
    }

    /** One endpoint that counts unevenly must not hide the gaps of streams that show their own distance. */
    @Test
    void aGapIsSeenFromTheStreamsOwnIdsAlthoughItsServiceCountsUnevenly() {
        serveOther(10, 20, 25);
        send("/resume/x");
        begin(1, 2);
        breakOff();
        begin(4);
        end();
        assertReset(events(1, 2));
    }

    /** Behind a single event, and before a stream of the service was complete, nothing shows the distance of ids. */
    @Test
    void aGapBehindTheOnlyEventOfTheFirstStreamIsNotPassedOn() {
        send("/resume/x");
        begin(1);
        breakOff();
        begin(3, 4);
        end();
        assertReset(events(1));
    }
}
