package org.cicadahead.testbed.soak;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SoakStreamTest {
    private final SoakStream stream = new SoakStream();

    /** Guards against a check that takes a proper further run for a fault. */
    @Test
    void acceptsARunThatGoesOnAtTheLastEvent() {
        stream.add("a0", event(1, "v0 run-a 0") + event(2, "v0 run-a 0") + "id: 3\nda", false);
        stream.add("a1", event(3, "v0 run-b 2"), true);
        assertThat(stream.fault()).isEmpty();
        assertThat(stream.lastEvent()).isEqualTo(3);
        assertThat(stream.attempt()).isEqualTo("a0");
    }

    /** Guards against a check that misses events of a run from the beginning behind those of another run. */
    @Test
    void reportsARunFromTheBeginningBehindAnother() {
        stream.add("a0", event(1, "v0 run-a 0") + event(2, "v0 run-b 0"), true);
        assertThat(stream.fault()).contains("a run that goes on after event 0 follows event 1");
    }

    /** Guards against a check that misses an event that is skipped. */
    @Test
    void reportsAGap() {
        stream.add("a0", event(1, "v0 run-a 0") + event(3, "v0 run-a 0"), true);
        assertThat(stream.fault()).contains("event 3 follows event 1");
    }

    /** Guards against a check that misses the text of a failure in a stream, which the users' clients found. */
    @Test
    void reportsAFailureInTheMiddleOfAStream() {
        stream.add("a0", event(1, "v0 run-a 0") + "HTTP/1.1 500 Server Error\r\n", false);
        assertThat(stream.fault()).contains("HTTP/1.1 500");
    }

    /** Guards against a check that accepts a partial event in a stream that looks complete. */
    @Test
    void reportsAPartialEventAtTheEnd() {
        stream.add("a0", event(1, "v0 run-a 0") + "id: 2\nda", true);
        assertThat(stream.fault()).contains("id: 2");
    }

    private static String event(int id, String data) {
        return "id: " + id + "\ndata: " + data + "\n\n";
    }
}
