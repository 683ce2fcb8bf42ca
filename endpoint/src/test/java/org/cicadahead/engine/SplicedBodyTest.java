package org.cicadahead.engine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cicadahead.model.RunId;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;

/**
 * Guards against a caller that selects the cache or the stream of another program by sending the engine's fields
 * itself, for example twice or with escaped names, and against bodies that are corrupted when these fields are
 * replaced.
 */
class SplicedBodyTest {

    @Test
    void callersFieldsAreReplacedAndAllOthersKept() throws Exception {
        for (String body : List.of(
                "{\"model\":\"m\",\"cache_owner\":\"other/p\",\"max_tokens\":5,\"run_id\":\"x\"}",
                "{ \"run_id\" : {\"a\":[1,2]} ,\n \"model\" : \"m\" , \"max_tokens\" : 5 }",
                "{\"cache\\u005fowner\":\"other/p\",\"max_tokens\":5,\"stream\":false,\"model\":\"m\"}",
                "{\"model\":\"m\",\"cache_owner\":1,\"max_tokens\":5,\"cache_owner\":2}")) {
            JsonNode sent = sent(body);
            assertWithMessage(body).that(sent.get("cache_owner").asText()).isEqualTo("acme/p1");
            assertWithMessage(body).that(sent.get("run_id").asText()).isEqualTo("r1");
            assertWithMessage(body).that(sent.get("stream").asBoolean()).isTrue();
            assertWithMessage(body).that(sent.get("model").asText()).isEqualTo("m");
            assertWithMessage(body).that(sent.get("max_tokens").asInt()).isEqualTo(5);
            assertThat(sent.size()).isEqualTo(5);
        }
        assertThat(sent("{}").size()).isEqualTo(3);
        assertThat(sent("{\"text\":\"a,}\\\"\u00e4\u20ac\",\"b\":[{\"run_id\":1}]}")
                        .get("b")
                        .toString())
                .isEqualTo("[{\"run_id\":1}]");
    }

    @Test
    void bodyThatIsNotAnObjectIsRejectedBeforeItIsSent() {
        for (String body : List.of("", "[]", "1", "{\"a\":1", "{\"a\":1}{\"b\":2}", "\u00e4")) {
            EngineException thrown = assertThrows(EngineException.class, () -> sent(body));
            assertWithMessage(body).that(thrown.mayHaveArrived()).isFalse();
        }
        byte[] utf16 = "{\"a\":1}".getBytes(StandardCharsets.UTF_16);
        assertThrows(EngineException.class, () -> sent(utf16));
    }

    private static JsonNode sent(String body) throws EngineException, IOException {
        return sent(body.getBytes(StandardCharsets.UTF_8));
    }

    private static JsonNode sent(byte[] body) throws EngineException, IOException {
        SplicedBody spliced = EngineBodies.request(new EngineRun(RunId.of("r1"), "acme/p1", body, true, 1_000));
        long length = spliced.getLength();
        byte[] sent = Content.Source.asString(spliced).getBytes(StandardCharsets.UTF_8);
        assertThat(sent).hasLength((int) length);
        return Codec.json().readTree(sent);
    }
}
