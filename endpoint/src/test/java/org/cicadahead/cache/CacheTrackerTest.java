package org.cicadahead.cache;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.junit.jupiter.api.Test;

/**
 * Guards against engine cache that is never released after its programs have ended, for example because a release or
 * its acknowledgement was lost, the engine restarted, or the program ran again while its release was pending.
 */
class CacheTrackerTest {
    private static final long IDLE = 10_000;

    private final CacheTracker tracker = CacheTracker.of(IDLE);

    @Property(tries = 200)
    void engineAndTrackerBecomeEmpty(@ForAll long seed) {
        Random random = new Random(seed);
        CacheTracker tested = CacheTracker.of(IDLE);
        Map<ProgramKey, Long> engine = new HashMap<>();
        Set<ProgramKey> running = new HashSet<>();
        int instance = 1;
        tested.instanceReported("1");
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(200);
            ProgramKey program = program("p" + random.nextInt(12));
            switch (random.nextInt(8)) {
                case 0, 1 -> {
                    if (running.add(program)) {
                        tested.runStarted(program, now);
                    }
                }
                case 2, 3 -> {
                    if (running.remove(program)) {
                        engine.put(program, 100L);
                        tested.runEnded(program, 100, now);
                    }
                }
                case 4 -> tested.ended(List.of(program));
                case 5 -> {
                    if (random.nextInt(10) == 0) {
                        engine.clear();
                        instance++;
                        tested.instanceReported("" + instance);
                    }
                }
                case 6 -> tested.reconcile(Map.copyOf(engine), tested.programs(), now);
                default -> release(tested, engine, running, random, now);
            }
        }
        for (ProgramKey program : Set.copyOf(running)) {
            tested.runEnded(program, 100, now);
            engine.put(program, 100L);
        }
        running.clear();
        tested.ended(tested.programs());
        for (int i = 0; i < 100; i++) {
            now += 1_000;
            tested.reconcile(Map.copyOf(engine), tested.programs(), now);
            tested.ended(tested.unverified());
            release(tested, engine, running, random, now);
        }
        assertWithMessage("programs left on the engine").that(engine).isEmpty();
        assertThat(tested.programs()).isEmpty();
        assertThat(tested.tokens()).isEqualTo(0);
    }

    @Test
    void idleProgramIsReleasedAfterTheIdleLimitOnly() {
        use("p1", 0);
        assertThat(tracker.pollDueReleases(IDLE - 1)).isEmpty();
        assertThat(tracker.pollDueReleases(IDLE)).containsExactly(program("p1"));
    }

    @Test
    void releaseIsRetriedWithBackoffUntilAcknowledged() {
        use("p1", 0);
        tracker.ended(List.of(program("p1")));
        assertThat(tracker.pollDueReleases(1)).hasSize(1);
        assertThat(tracker.pollDueReleases(2)).isEmpty();
        assertThat(tracker.pollDueReleases(1_000)).hasSize(1);
        tracker.released(program("p1"));
        assertThat(tracker.pollDueReleases(100_000)).isEmpty();
        assertThat(tracker.programs()).isEmpty();
    }

    @Test
    void runningProgramIsNotReleasedAndAnOldAcknowledgementDoesNotRemoveIt() {
        use("p1", 0);
        assertThat(tracker.pollDueReleases(IDLE)).hasSize(1);
        tracker.runStarted(program("p1"), IDLE + 1);
        tracker.released(program("p1"));
        assertThat(tracker.pollDueReleases(10 * IDLE)).isEmpty();
        tracker.runEnded(program("p1"), 100, IDLE + 2);
        tracker.released(program("p1"));
        assertThat(tracker.programs()).containsExactly(program("p1"));
    }

    @Test
    void pressureEvictsTheLongestPauseFirst() {
        tracker.runStarted(program("slow"), 0);
        tracker.runEnded(program("slow"), 500, 0);
        tracker.runStarted(program("slow"), 8_000);
        tracker.runEnded(program("slow"), 500, 8_000);
        use("quick", 8_000);
        tracker.runStarted(program("quick"), 8_100);
        tracker.runEnded(program("quick"), 450, 8_100);
        tracker.evictUnderPressure(950, 1_000, 8_200);
        assertThat(tracker.pollDueReleases(8_200)).containsExactly(program("slow"));
    }

    @Test
    void programWithPausesBeyondTheIdleLimitIsReleasedImmediately() {
        use("p1", 0);
        use("p1", 3 * IDLE);
        assertThat(tracker.pollDueReleases(3 * IDLE)).containsExactly(program("p1"));
    }

    @Test
    void programsThatOnlyTheEngineKnowsMustBeVerified() {
        tracker.reconcile(Map.of(program("p1"), 100L, program("p2"), 100L), Set.of(), 0);
        assertThat(tracker.unverified()).containsExactly(program("p1"), program("p2"));
        tracker.ended(List.of(program("p1")));
        tracker.markVerified(List.of(program("p2")));
        assertThat(tracker.unverified()).isEmpty();
        assertThat(tracker.pollDueReleases(1)).containsExactly(program("p1"));
    }

    private void use(String id, long now) {
        tracker.runStarted(program(id), now);
        tracker.runEnded(program(id), 100, now);
    }

    /** Sends the due releases; the engine misses some of them, and some acknowledgements are lost. */
    private static void release(
            CacheTracker tested, Map<ProgramKey, Long> engine, Set<ProgramKey> running, Random random, long now) {
        for (ProgramKey program : tested.pollDueReleases(now)) {
            assertWithMessage("running programs, whose cache must not be released")
                    .that(running)
                    .doesNotContain(program);
            int delivery = random.nextInt(3);
            if (delivery > 0) {
                engine.remove(program);
            }
            if (delivery > 1) {
                tested.released(program);
            }
        }
    }

    private static ProgramKey program(String id) {
        return ProgramKey.of(OrganisationId.of("acme"), ProgramId.of(id));
    }
}
