package org.cicadahead.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.RunRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the processing of requests without faults. */
class EntryNodeTest {
    private EntryFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new EntryFixture();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void returnsAChatCompletion() throws Exception {
        HttpResponse<String> response = fixture.chat(EntryFixture.chat("plan", false, "Hi"));
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("Hello");
        assertThat(response.headers().firstValue("Cicadahead-Endpoint")).hasValue("e1");
        assertThat(response.headers().firstValue("Cicadahead-Request")).isPresent();
    }

    @Test
    void streamsAChatCompletion() throws Exception {
        HttpResponse<String> response = fixture.chat(EntryFixture.chat("plan", true, "Hi"));
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body())
                .isEqualTo(FakeEndpoint.event("Hel") + FakeEndpoint.event("lo") + "data: [DONE]\n\n");
    }

    @Test
    void recordsStepsAndPrependsTheHistory() throws Exception {
        for (boolean stream : new boolean[] {false, true}) {
            String program = "p" + stream;
            fixture.chat(
                    EntryFixture.chat("plan", stream, "one"), "Cicadahead-Program", program, "Cicadahead-Step", "1");
            fixture.chat(
                    EntryFixture.chat("plan", stream, "two"), "Cicadahead-Program", program, "Cicadahead-Step", "2");
            RunRequest run = fixture.engine.runs.get(fixture.engine.runs.size() - 1);
            JsonNode messages = Json.read(run.body()).path("messages");
            assertThat(messages.toString())
                    .isEqualTo(
                            "[{\"role\":\"user\",\"content\":\"one\"},{\"role\":\"assistant\",\"content\":\"Hello\"},"
                                    + "{\"role\":\"user\",\"content\":\"two\"}]");
        }
        assertThat(fixture.control.received(FinishStep.class)).hasSize(4);
    }

    @Test
    void replaysAFinishedStepWithoutRunningIt() throws Exception {
        String[] headers = {"Cicadahead-Program", "p", "Cicadahead-Step", "1"};
        fixture.chat(EntryFixture.chat("plan", false, "one"), headers);
        HttpResponse<String> replayed = fixture.chat(EntryFixture.chat("plan", false, "one"), headers);
        HttpResponse<String> stream = fixture.chat(EntryFixture.chat("plan", true, "one"), headers);
        assertThat(replayed.headers().firstValue("Cicadahead-Replayed")).hasValue("true");
        assertThat(replayed.body()).contains("Hello");
        assertThat(stream.body()).contains("\"delta\":{\"role\":\"assistant\",\"content\":\"Hello\"}");
        assertThat(stream.body()).endsWith("data: [DONE]\n\n");
        assertThat(fixture.engine.runs).hasSize(1);
    }

    @Test
    void callsAServiceWithAClaim() throws Exception {
        HttpResponse<String> response = fixture.book("k1");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("booked");
        RunRequest run = fixture.service.runs.get(0);
        assertThat(run.path()).isEqualTo("/seat");
        assertThat(run.claim().fence()).isEqualTo(1);
        assertThat(run.headers()).containsEntry("idempotency-key", "k1");
    }

    @Test
    void readsAndEndsAProgram() throws Exception {
        fixture.chat(EntryFixture.chat("plan", false, "one"), "Cicadahead-Program", "p", "Cicadahead-Step", "1");
        JsonNode program = EntryFixture.json(fixture.send(fixture.requestTo("/v1/programs/p")));
        assertThat(program.path("next_step").asInt()).isEqualTo(2);
        assertThat(program.path("messages").size()).isEqualTo(2);
        assertThat(fixture.send(fixture.requestTo("/v1/programs/p").DELETE()).statusCode())
                .isEqualTo(204);
    }
}
