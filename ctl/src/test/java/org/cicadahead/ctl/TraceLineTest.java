package org.cicadahead.ctl;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests the correlation of log lines of several processes into the trace of a request. */
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

    /** Guards against a trace that is not in time order or omits the warnings logged around it. */
    @Test
    void traceContainsRequestsAndWarningsInTimeOrder() {
        List<String> trace =
                TraceLine.trace(LINES, "a", 1).stream().map(TraceLine::text).toList();
        assertThat(trace).hasSize(3);
        assertThat(trace.get(0)).isEqualTo("0.9000 core-1 WARN cut");
        assertThat(trace.get(1)).startsWith("1.0000 edge-1 ");
        assertThat(trace.get(2)).startsWith("5.5000 edge-2 ");
    }

    /** Guards against a trace that returns unrelated lines, such as warnings, for an unknown id. */
    @Test
    void traceOfUnknownIdIsEmpty() {
        assertThat(TraceLine.trace(LINES, "none", 1)).isEmpty();
    }

    /** Guards against JSON lines without a time and node prefix that are not parsed. */
    @Test
    void parsesUnprefixedLineWithItsOwnTimestamp() {
        TraceLine line = TraceLine.parse("{\"at\":1500,\"event\":\"request\",\"request\":\"c\"}", "entry.log");
        assertThat(line.seconds()).isEqualTo(1.5);
        assertThat(line.source()).isEqualTo("entry.log");
    }
}
