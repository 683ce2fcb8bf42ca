package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests event streams that arrive in chunks of arbitrary size. */
class EventStreamParserTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: comment\n\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Events must not be split or merged where a chunk ends within an event, a line or a CR LF pair. */
    @Property(tries = 200)
    void parsesTheSameEventsForAnyChunking(@ForAll long seed) {
        Random random = new Random(seed);
        EventStreamParser parser = new EventStreamParser();
        List<StreamEvent> events = new ArrayList<>();
        for (int at = 0; at < STREAM.length(); ) {
            int end = Math.min(STREAM.length(), at + 1 + random.nextInt(9));
            events.addAll(parser.feed(bytes(STREAM.substring(at, end))));
            at = end;
        }
        assertThat(events).hasSize(3);
        StringBuilder joined = new StringBuilder();
        events.forEach(event -> joined.append(new String(event.bytes(), StandardCharsets.ISO_8859_1)));
        assertThat(joined.toString()).isEqualTo(STREAM);
        assertThat(events.get(0).id()).isEqualTo(1);
        assertThat(new String(events.get(1).data(), StandardCharsets.ISO_8859_1))
                .isEqualTo("b\nc");
        assertThat(events.get(2).data()).isNull();
        assertThat(parser.hasPartialEvent()).isFalse();
    }

    /**
     * A partial event must not be reported as complete; otherwise a stream that is cut off there would appear complete.
     */
    @Test
    void buffersAPartialEvent() {
        EventStreamParser parser = new EventStreamParser();
        assertThat(parser.feed(bytes("id: 1\ndata: a\n"))).isEmpty();
        assertThat(parser.hasPartialEvent()).isTrue();
    }

    /** Bytes that are not valid UTF-8 must pass through unchanged; decoding lines as UTF-8 would replace them. */
    @Test
    void preservesBytesThatAreNotText() {
        byte[] invalidText = {'d', 'a', 't', 'a', ':', ' ', (byte) 0xff, (byte) 0x80, '\n', '\n'};
        StreamEvent event = new EventStreamParser().feed(invalidText).get(0);
        assertThat(event.data()).isEqualTo(new byte[] {(byte) 0xff, (byte) 0x80});
    }

    /** No bytes, in any chunks, may be lost, duplicated or make the parser fail. */
    @Property(tries = 500)
    void anyBytesArePreserved(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] alphabet = bytes("\n\n\r:didata 0-9\0\u00ff");
        EventStreamParser parser = new EventStreamParser();
        StringBuilder sent = new StringBuilder();
        StringBuilder received = new StringBuilder();
        for (int chunk = 0; chunk < 40; chunk++) {
            byte[] bytes = new byte[random.nextInt(30)];
            for (int i = 0; i < bytes.length; i++) {
                bytes[i] = alphabet[random.nextInt(alphabet.length)];
            }
            sent.append(new String(bytes, StandardCharsets.ISO_8859_1));
            parser.feed(bytes)
                    .forEach(event -> received.append(new String(event.bytes(), StandardCharsets.ISO_8859_1)));
        }
        assertThat(sent.toString()).startsWith(received.toString());
        assertThat(sent.length() - received.length()).isEqualTo(parser.bufferedBytes());
    }
}
