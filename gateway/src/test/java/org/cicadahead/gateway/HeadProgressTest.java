package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against connections that are held by heads without end, and against closing sound connections. */
class HeadProgressTest {
    private final HeadProgress progress = HeadProgress.start();

    @Test
    void headThatDripsExceedsItsTime() {
        for (long now = 0; now <= 4_000; now += 1_000) {
            progress.observe(0, 0, 1 + now / 1_000, now);
        }
        assertThat(progress.exceeds(3_000, 4_000)).isTrue();
        assertThat(progress.exceeds(5_000, 4_000)).isFalse();
    }

    /** Neither an idle connection nor one whose request runs for a long time waits for a head. */
    @Test
    void idleAndBusyConnectionsDoNotExceed() {
        progress.observe(0, 0, 0, 0);
        assertThat(progress.exceeds(3_000, 60_000)).isFalse();
        progress.observe(1, 0, 500, 1_000);
        progress.observe(1, 0, 900, 5_000);
        assertThat(progress.exceeds(3_000, 60_000)).isFalse();
        progress.observe(1, 1, 900, 6_000);
        progress.observe(1, 1, 900, 20_000);
        assertThat(progress.exceeds(3_000, 60_000)).isFalse();
    }

    /** The time of each head counts for itself on a connection with many requests. */
    @Test
    void laterHeadThatDripsExceedsItsTime() {
        progress.observe(5, 5, 2_000, 0);
        progress.observe(6, 6, 2_400, 1_000);
        progress.observe(6, 6, 2_410, 2_000);
        progress.observe(6, 6, 2_420, 4_900);
        assertThat(progress.exceeds(3_000, 4_900)).isFalse();
        assertThat(progress.exceeds(3_000, 5_000)).isTrue();
    }
}
