package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cicadahead.site.Repetition;
import org.cicadahead.site.SiteRoute;
import org.cicadahead.site.WeightedService;
import org.junit.jupiter.api.Test;

/** Guards against cutting a slow but sound stream, and against a stalled one that never ends. */
class StreamProgressTest {
    private static SiteRoute route(long targetMillis, long gapTargetMillis) {
        return new SiteRoute(
                "r",
                "h",
                "/r/",
                Repetition.STREAM,
                false,
                false,
                0,
                true,
                false,
                0,
                60_000,
                targetMillis,
                gapTargetMillis,
                1,
                List.of(new WeightedService("s", 1)));
    }

    /** A stream that pauses for as long as callers wait, each time, is sound. */
    @Test
    void slowStreamDoesNotStall() {
        StreamProgress progress = StreamProgress.start(route(200, 500), 0);
        for (long now = 4_000; now <= 40_000; now += 4_000) {
            assertThat(progress.leftMillis(now)).isGreaterThan(0L);
            progress.eventReceived(now);
        }
    }

    @Test
    void streamWithoutEventsStalls() {
        StreamProgress progress = StreamProgress.start(route(200, 250), 1_000);
        assertThat(progress.leftMillis(1_000)).isEqualTo(6_000);
        progress.eventReceived(3_000);
        assertThat(progress.leftMillis(5_000)).isEqualTo(4_000);
        assertThat(progress.leftMillis(9_000)).isEqualTo(0);
        assertThat(progress.leftMillis(20_000)).isEqualTo(0);
    }

    /** Routes with long objectives have streams with long pauses. */
    @Test
    void limitFollowsTheObjectivesOfTheRoute() {
        assertThat(StreamProgress.start(route(2_000, 250), 0).leftMillis(0)).isEqualTo(24_000);
        assertThat(StreamProgress.start(route(200, 1_000), 0).leftMillis(0)).isEqualTo(24_000);
        assertThat(StreamProgress.start(route(0, 0), 0).leftMillis(0)).isEqualTo(6_000);
    }
}
