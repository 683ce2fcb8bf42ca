package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Streams of events that come in pieces of any size. */
class EventStreamParserTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: comment\n\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Guards against events that are cut or joined at the bounds of packets. */
    @Property(tries = 200)
    void cutsTheSameEventsHoweverTheyCome(@ForAll long seed) {
        Random random = new Random(seed);
        EventStreamParser scanner = new EventStreamParser();
        List<StreamEvent> events = new ArrayList<>();
        for (int at = 0; at < STREAM.length(); ) {
            int end = Math.min(STREAM.length(), at + 1 + random.nextInt(9));
            events.addAll(scanner.feed(bytes(STREAM.substring(at, end))));
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
        assertThat(scanner.hasRest()).isFalse();
    }

    /** Guards against half an event that is taken for a whole one. */
    @Test
    void keepsWhatIsNotComplete() {
        EventStreamParser scanner = new EventStreamParser();
        assertThat(scanner.feed(bytes("id: 1\ndata: a\n"))).isEmpty();
        assertThat(scanner.hasRest()).isTrue();
    }

    /** Guards against data whose bytes are changed on the way. */
    @Test
    void keepsBytesThatAreNoText() {
        byte[] odd = {'d', 'a', 't', 'a', ':', ' ', (byte) 0xff, (byte) 0x80, '\n', '\n'};
        StreamEvent event = new EventStreamParser().feed(odd).get(0);
        assertThat(event.data()).isEqualTo(new byte[] {(byte) 0xff, (byte) 0x80});
    }
}
