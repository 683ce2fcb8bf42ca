package org.cicadahead.engine;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a stream that is taken for complete before its last event. */
class EventSplitterTest {
    private final EventSplitter splitter = new EventSplitter();

    private void feed(String event) throws EngineException {
        splitter.feed(ByteBuffer.wrap(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8)));
    }

    /** Engines that report the usage at the end may name it as null in each event before. */
    @Test
    void anEventWithoutUsageDoesNotCompleteAStream() throws EngineException {
        feed("{\"choices\":[{\"index\":0}],\"usage\":null}");
        assertThat(splitter.isComplete()).isFalse();
        feed("{\"choices\":[{\"index\":0}],\"usage\": null}");
        assertThat(splitter.isComplete()).isFalse();
        feed("{\"choices\":[],\"usage\": {\"prompt_tokens\":1}}");
        assertThat(splitter.isComplete()).isTrue();
        assertThat(EngineBodies.usage(splitter.usageEvent())).isNotNull();
    }

    /** Some engines state the usage so far in every event. */
    @Test
    void theUsageOfAChoiceThatGoesOnDoesNotCompleteAStream() throws EngineException {
        feed("{\"choices\":[{\"index\":0}],\"usage\":{\"completion_tokens\":1}}");
        assertThat(splitter.isComplete()).isFalse();
        feed("{\"choices\":[{\"index\":0,\"finish_reason\":null}],\"usage\":{\"completion_tokens\":2}}");
        assertThat(splitter.isComplete()).isFalse();
        feed("{\"choices\":[{\"index\":0,\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}");
        assertThat(splitter.isComplete()).isTrue();
    }

    /** Text that an engine generates may contain the name of the field. */
    @Test
    void aTextThatMentionsUsageDoesNotCompleteAStream() throws EngineException {
        feed("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\\\"usage\\\"\"}}]}");
        assertThat(splitter.isComplete()).isFalse();
        feed("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"usage\"}}]}");
        assertThat(splitter.isComplete()).isFalse();
    }

    /** The last event may also be the one that only ends the stream. */
    @Test
    void theFinalEventCompletesAStream() throws EngineException {
        feed("{\"choices\":[{\"index\":0}]}");
        assertThat(splitter.isComplete()).isFalse();
        feed("[DONE]");
        assertThat(splitter.isComplete()).isTrue();
    }

    /** A part of an event behind the usage belongs to an event that has not arrived. */
    @Test
    void aPartialEventDoesNotCompleteAStream() throws EngineException {
        feed("{\"usage\":{\"prompt_tokens\":1}}");
        splitter.feed(ByteBuffer.wrap("data: {".getBytes(StandardCharsets.UTF_8)));
        assertThat(splitter.isComplete()).isFalse();
    }

    /** Text that an engine generates may contain the line that ends a stream. */
    @Test
    void aTextThatMentionsTheFinalEventDoesNotCompleteAStream() throws EngineException {
        byte[] event =
                "data: {\"choices\":[{\"delta\":{\"content\":\"data: [DONE]\"}}]}\n\n".getBytes(StandardCharsets.UTF_8);
        assertThat(splitter.feed(ByteBuffer.wrap(event))).isEqualTo(event);
        assertThat(splitter.isComplete()).isFalse();
    }
}
