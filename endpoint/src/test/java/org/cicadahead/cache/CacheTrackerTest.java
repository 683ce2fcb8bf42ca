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

/** Guards against engine memory that stays held by programs that are gone. */
class CacheTrackerTest {
    private static final long IDLE = 10_000;

    private final CacheTracker ledger = CacheTracker.of(IDLE);

    @Property(tries = 200)
    void engineAndLedgerReturnToZero(@ForAll long seed) {
        Random random = new Random(seed);
        CacheTracker tested = CacheTracker.of(IDLE);
        Map<ProgramKey, Long> engine = new HashMap<>();
        Set<ProgramKey> running = new HashSet<>();
        int instance = 1;
        tested.instanceSeen("1");
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
                        tested.instanceSeen("" + instance);
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
        assertWithMessage("held by the engine").that(engine).isEmpty();
        assertThat(tested.programs()).isEmpty();
        assertThat(tested.tokens()).isEqualTo(0);
    }

    @Test
    void silentProgramIsReleasedAfterTheIdleLimitOnly() {
        use("p1", 0);
        assertThat(ledger.pollDueReleases(IDLE - 1)).isEmpty();
        assertThat(ledger.pollDueReleases(IDLE)).containsExactly(program("p1"));
    }

    @Test
    void releaseIsRetriedUntilAcknowledgedAndNotMoreOftenThanNeeded() {
        use("p1", 0);
        ledger.ended(List.of(program("p1")));
        assertThat(ledger.pollDueReleases(1)).hasSize(1);
        assertThat(ledger.pollDueReleases(2)).isEmpty();
        assertThat(ledger.pollDueReleases(1_000)).hasSize(1);
        ledger.released(program("p1"));
        assertThat(ledger.pollDueReleases(100_000)).isEmpty();
        assertThat(ledger.programs()).isEmpty();
    }

    @Test
    void runningProgramIsNotReleasedAndAnOldAcknowledgementDoesNotHideIt() {
        use("p1", 0);
        assertThat(ledger.pollDueReleases(IDLE)).hasSize(1);
        ledger.runStarted(program("p1"), IDLE + 1);
        ledger.released(program("p1"));
        assertThat(ledger.pollDueReleases(10 * IDLE)).isEmpty();
        ledger.runEnded(program("p1"), 100, IDLE + 2);
        ledger.released(program("p1"));
        assertThat(ledger.programs()).containsExactly(program("p1"));
    }

    @Test
    void pressureDropsTheLongestPauseFirst() {
        ledger.runStarted(program("slow"), 0);
        ledger.runEnded(program("slow"), 500, 0);
        ledger.runStarted(program("slow"), 8_000);
        ledger.runEnded(program("slow"), 500, 8_000);
        use("quick", 8_000);
        ledger.runStarted(program("quick"), 8_100);
        ledger.runEnded(program("quick"), 450, 8_100);
        ledger.evictUnderPressure(950, 1_000, 8_200);
        assertThat(ledger.pollDueReleases(8_200)).containsExactly(program("slow"));
    }

    @Test
    void programWithPausesBeyondTheIdleLimitIsDroppedAtOnce() {
        use("p1", 0);
        use("p1", 3 * IDLE);
        assertThat(ledger.pollDueReleases(3 * IDLE)).containsExactly(program("p1"));
    }

    @Test
    void programsThatOnlyTheEngineKnowsMustBeVerified() {
        ledger.reconcile(Map.of(program("p1"), 100L, program("p2"), 100L), Set.of(), 0);
        assertThat(ledger.unverified()).containsExactly(program("p1"), program("p2"));
        ledger.ended(List.of(program("p1")));
        ledger.verified(List.of(program("p2")));
        assertThat(ledger.unverified()).isEmpty();
        assertThat(ledger.pollDueReleases(1)).containsExactly(program("p1"));
    }

    private void use(String id, long now) {
        ledger.runStarted(program(id), now);
        ledger.runEnded(program(id), 100, now);
    }

    /** The engine refuses some releases, and some acknowledgements are lost. */
    private static void release(
            CacheTracker tested, Map<ProgramKey, Long> engine, Set<ProgramKey> running, Random random, long now) {
        for (ProgramKey program : tested.pollDueReleases(now)) {
            assertWithMessage("running programs are not released").that(running).doesNotContain(program);
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
