package org.cicadahead.crash;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RunId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are suspected of a crash although they were not running when it happened, for example
 * because they had completed before or were sent after the restart.
 */
class CrashAttributionTest {
    private final CrashAttribution crashes = new CrashAttribution();

    @BeforeEach
    void firstInstance() {
        crashes.instanceReported("i1", 0);
    }

    @Test
    void onlyRequestsRunningAtTheCrashAreReported() {
        start("done", 1);
        crashes.completed(RunId.of("done"));
        start("cancelled", 2);
        crashes.withdrawn(RunId.of("cancelled"));
        start("disconnected", 3);
        start("connected", 4);
        crashes.connectionLost(RunId.of("disconnected"));
        assertThat(crashes.isUncertain()).isTrue();
        CrashAttribution.Crash crash = crashes.instanceReported("i2", 10).orElseThrow();
        assertThat(crash.instance()).isEqualTo("i1");
        assertThat(crash.digests()).containsExactly(digest(3), digest(4));
        assertThat(crashes.isUncertain()).isFalse();
    }

    @Test
    void lostConnectionWithTheSameInstanceIsNoCrash() {
        start("r1", 1);
        crashes.connectionLost(RunId.of("r1"));
        assertThat(crashes.instanceReported("i1", 10)).isEmpty();
        assertThat(crashes.isUncertain()).isFalse();
        assertThat(crashes.isSuspect(digest(1), 10)).isFalse();
        assertThat(crashes.instanceReported("i2", 20)).isEmpty();
    }

    @Test
    void crashOfAnEngineThatStaysDownIsReportedOnce() {
        start("r1", 1);
        assertThat(crashes.unreachable(5)).isEmpty();
        crashes.connectionLost(RunId.of("r1"));
        assertThat(crashes.unreachable(10)).isPresent();
        assertThat(crashes.unreachable(20)).isEmpty();
        start("r2", 2);
        assertThat(crashes.instanceReported("i2", 30)).isEmpty();
        assertThat(crashes.isSuspect(digest(2), 30)).isFalse();
    }

    @Test
    void restartWithoutRunsReportsNothing() {
        assertThat(crashes.instanceReported("i2", 10)).isEmpty();
    }

    @Test
    void suspectExpiresAndIsClearedByOneCompletion() {
        start("r1", 1);
        crashes.connectionLost(RunId.of("r1"));
        crashes.instanceReported("i2", 10);
        assertThat(crashes.isSuspect(digest(1), 20)).isTrue();
        assertThat(crashes.isSuspect(digest(1), 700_000)).isFalse();
        start("r2", 1);
        assertThat(crashes.completed(RunId.of("r2"))).isEqualTo(Optional.of(digest(1)));
        assertThat(crashes.isSuspect(digest(1), 20)).isFalse();
    }

    private void start(String run, int digest) {
        crashes.started(RunId.of(run), digest(digest));
    }

    private static RequestDigest digest(int number) {
        return RequestDigest.of(String.format("%064x", number));
    }
}
