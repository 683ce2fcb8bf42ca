package org.cicadahead.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import org.cicadahead.protocol.RunEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against failures of an engine that reach the caller of a stream framed as a complete stream. */
class EngineFailureDeliveryTest {
    private static final int BAD_REQUEST = 400;
    private static final String EVENT = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n";

    private EntryFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new EntryFixture();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private HttpResponse<String> failureWith(String body) throws Exception {
        fixture.engine.behaviour = (run, responder) -> {
            responder.part(FakeEndpoint.chunk(run, 0, body));
            responder.reply(
                    new RunEnd(run.run(), 1, BAD_REQUEST, "text/plain", null, false, "", null, FakeEndpoint.LOAD));
        };
        return fixture.chat(EntryFixture.chat("plan", true, "Hi"));
    }

    /** A blank line in the text of a failure looks like the end of an event. */
    @ParameterizedTest
    @ValueSource(strings = {"bad request\n\n", "bad model\n\nsee the list\n", ": a\n\n: b\n\n", "\n\n", "bad"})
    void aFailureWithBlankLinesIsDeliveredAsAFailure(String body) throws Exception {
        HttpResponse<String> response = failureWith(body);
        assertThat(response.statusCode()).isEqualTo(BAD_REQUEST);
        assertThat(response.body()).isEqualTo(body);
    }

    /** Events that the caller has received cannot be taken back, but the stream must not end as complete. */
    @Test
    void aFailureBehindEventsDoesNotCompleteTheStream() throws Exception {
        HttpResponse<String> response = failureWith(EVENT);
        assertThat(response.body()).doesNotContain("[DONE]");
        assertThat(response.body()).contains("answer_incomplete");
    }
}
