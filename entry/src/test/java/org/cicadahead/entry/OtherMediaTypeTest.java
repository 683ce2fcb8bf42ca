package org.cicadahead.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.RunEnd;
import org.junit.jupiter.api.Test;

/** Guards against an answer that is no stream by its media type and is reported as a complete stream. */
class OtherMediaTypeTest {
    private static final byte[] EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n".getBytes(StandardCharsets.UTF_8);

    private static RunEnd end(String contentType) {
        return new RunEnd(RunId.of("r"), 1, 200, contentType, null, false, "", null, null);
    }

    /** Nobody has checked such an answer for its last event. */
    @Test
    void eventsOfAnotherMediaTypeAreNoCompleteStream() throws Exception {
        for (String type : new String[] {null, "", "text/plain", "application/json"}) {
            EventStreamCollector collector = new EventStreamCollector();
            assertThat(collector.accept(EVENT)).isEqualTo(EVENT);
            assertThrows(InvalidResponseException.class, () -> collector.finish(end(type)), type);
        }
    }

    /** A media type may have parameters. */
    @Test
    void eventsOfAStreamAreComplete() throws Exception {
        for (String type : new String[] {"text/event-stream", "text/event-stream; charset=utf-8"}) {
            EventStreamCollector collector = new EventStreamCollector();
            collector.accept(EVENT);
            assertWithMessage(type).that(collector.finish(end(type)).chat()).isTrue();
        }
    }
}
