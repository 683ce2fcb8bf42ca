package org.cicadahead.ctl;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The story of a request from the lines of several processes. */
class TraceLineTest {
    private static final List<TraceLine> LINES = Stream.of(
                    TraceLine.parse(
                            "   5.5000 edge-2 {\"event\":\"request\",\"request\":\"b\",\"previous\":\"a\"}", "x"),
                    TraceLine.parse("   1.0000 edge-1 {\"event\":\"request\",\"request\":\"a\",\"ms\":500}", "x"),
                    TraceLine.parse("   0.9000 core-1 {\"event\":\"log\",\"level\":\"WARN\",\"text\":\"cut\"}", "x"),
                    TraceLine.parse("   9.9000 core-1 {\"event\":\"log\",\"level\":\"WARN\",\"text\":\"late\"}", "x"),
                    TraceLine.parse("   1.1000 edge-1 {\"event\":\"log\",\"level\":\"INFO\",\"text\":\"fine\"}", "x"),
                    TraceLine.parse("   1.1000 edge-1 {\"event\":\"req", "x"),
                    TraceLine.parse("built in 2 s", "x"))
            .filter(Objects::nonNull)
            .toList();

    /** Guards against a story in another order than that of time, or without the warnings that explain it. */
    @Test
    void tellsRequestsAndWarningsInTheOrderOfTime() {
        List<String> story =
                TraceLine.story(LINES, "a", 1).stream().map(TraceLine::text).toList();
        assertThat(story).hasSize(3);
        assertThat(story.get(0)).isEqualTo("0.9000 core-1 WARN cut");
        assertThat(story.get(1)).startsWith("1.0000 edge-1 ");
        assertThat(story.get(2)).startsWith("5.5000 edge-2 ");
    }

    /** Guards against an answer where nothing is known of an id. */
    @Test
    void tellsNothingOfAnUnknownId() {
        assertThat(TraceLine.story(LINES, "none", 1)).isEmpty();
    }

    /** Guards against plain lines of a process that are not understood. */
    @Test
    void readsPlainLinesWithTheirOwnTime() {
        TraceLine line = TraceLine.parse("{\"at\":1500,\"event\":\"request\",\"request\":\"c\"}", "entry.log");
        assertThat(line.seconds()).isEqualTo(1.5);
        assertThat(line.source()).isEqualTo("entry.log");
    }
}
