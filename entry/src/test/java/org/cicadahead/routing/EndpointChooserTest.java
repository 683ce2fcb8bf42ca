package org.cicadahead.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.EndpointsDelta;
import org.junit.jupiter.api.Test;

/** Guards against empty pools, herding, lost caches and retries without a limit. */
class EndpointChooserTest {
    private static final PoolName POOL = PoolName.of("pool");

    @Property(tries = 300)
    void ejectionNeverEmptiesAPool(@ForAll long seed, @ForAll @IntRange(min = 1, max = 9) int size) {
        Random random = new Random(seed);
        EndpointChooser chooser = chooser(size, seed);
        long now = 0;
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(200);
            Announcement chosen = chooser.choose(request(null, 1), now).orElseThrow();
            chooser.failed(chosen.endpoint(), random.nextInt(10) > 0, now);
        }
        Set<EndpointId> left = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            left.add(chooser.choose(request(null, 1), now).orElseThrow().endpoint());
        }
        assertThat(left.size()).isAtLeast(size - size / 2);
    }

    @Property(tries = 100)
    void forbiddenEndpointsAreNeverChosenAndAvoidedOnesOnlyAsTheLast(@ForAll long seed) {
        EndpointChooser chooser = chooser(3, seed);
        Set<EndpointId> one = Set.of(endpoint(1));
        Set<EndpointId> others = Set.of(endpoint(0), endpoint(2));
        ChoiceRequest lastResort = new ChoiceRequest(POOL, "", null, null, 1, others, one);
        assertThat(others).contains(chooser.choose(lastResort, 0).orElseThrow().endpoint());
        ChoiceRequest avoids = new ChoiceRequest(POOL, "", null, null, 1, others, Set.of());
        assertThat(chooser.choose(avoids, 0).orElseThrow().endpoint()).isEqualTo(endpoint(1));
        ChoiceRequest impossible =
                new ChoiceRequest(POOL, "", null, null, 1, Set.of(), Set.of(endpoint(0), endpoint(1), endpoint(2)));
        assertThat(chooser.choose(impossible, 0)).isEmpty();
    }

    /** Thirty entries see the same report, in which one endpoint is idle; they must not all send there. */
    @Property(tries = 50)
    void entriesWithTheSameReportDoNotHerd(@ForAll long seed) {
        int entries = 30;
        Map<EndpointId, Integer> sent = new HashMap<>();
        for (int entry = 0; entry < entries; entry++) {
            EndpointChooser chooser = chooser(10, seed + entry);
            for (int i = 0; i < 10; i++) {
                int running = i == 0 ? 0 : 4;
                chooser.report(endpoint(i), new EndpointLoad(0, running, 0, 0, 0, 8), 0);
            }
            EndpointId chosen =
                    chooser.choose(request(null, 1), 0).orElseThrow().endpoint();
            sent.merge(chosen, 1, Integer::sum);
        }
        // The naive choice of the least loaded would send all 30; two random candidates contain one of ten in a fifth.
        assertThat(sent.getOrDefault(endpoint(0), 0)).isAtMost(entries / 2);
    }

    /**
     * Turns of one program arrive at different entries. Without an agreed home, an entry that has not seen the program
     * sends it to an endpoint that lacks its cache.
     */
    @Property(tries = 100)
    void entriesAgreeOnTheHomeOfAProgramThatTheyDoNotKnow(@ForAll long seed) {
        Set<EndpointId> homes = new HashSet<>();
        for (int entry = 0; entry < 10; entry++) {
            EndpointChooser chooser = chooser(6, seed + entry);
            homes.add(chooser.choose(request(program((int) (seed % 1_000)), 4_000), 0)
                    .orElseThrow()
                    .endpoint());
        }
        assertThat(homes).hasSize(1);
    }

    /** An agreed home that ignored the load would make hot endpoints. */
    @Test
    void loadedHomeLosesAProgramToAnIdleEndpoint() {
        EndpointChooser chooser = chooser(2, 1);
        EndpointId home =
                chooser.choose(request(program(1), 1_000), 0).orElseThrow().endpoint();
        chooser.report(home, new EndpointLoad(100, 8, 0, 0, 0, 8), 0);
        assertThat(chooser.choose(request(program(1), 1_000), 0).orElseThrow().endpoint())
                .isNotEqualTo(home);
    }

    /** The stated target: at most a fifth of the tokens that round robin computes again. */
    @Property(tries = 20)
    void programsKeepTheirCacheFarBetterThanUnderRoundRobin(@ForAll long seed) {
        Random random = new Random(seed);
        EndpointChooser chooser = chooser(6, seed);
        List<EndpointId> endpoints = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            endpoints.add(endpoint(i));
        }
        RoundRobin naive = new RoundRobin(endpoints);
        Wasted wasted = new Wasted();
        Wasted naiveWasted = new Wasted();
        List<ProgramKey> order = new ArrayList<>();
        for (int p = 0; p < 20; p++) {
            for (int step = 0; step < 10; step++) {
                order.add(program(p));
            }
        }
        Collections.shuffle(order, random);
        Map<ProgramKey, Long> lengths = new HashMap<>();
        for (ProgramKey program : order) {
            long tokens = lengths.merge(program, 1_000L, Long::sum);
            EndpointId chosen =
                    chooser.choose(request(program, tokens), 0).orElseThrow().endpoint();
            chooser.completed(chosen, program, program, tokens);
            chooser.report(chosen, new EndpointLoad(0, random.nextInt(8), 0, 0, 0, 8), 0);
            wasted.run(program, chosen, tokens);
            naiveWasted.run(program, naive.choose(), tokens);
        }
        assertThat(wasted.tokens * 5).isAtMost(naiveWasted.tokens);
    }

    @Test
    void siblingsShareThePrefixOfTheirRoot() {
        EndpointChooser chooser = chooser(8, 1);
        ProgramKey root = program(0);
        chooser.completed(endpoint(5), root, root, 10_000);
        ChoiceRequest sibling = new ChoiceRequest(POOL, "", program(1), root, 10_000, Set.of(), Set.of());
        assertThat(chooser.choose(sibling, 0).orElseThrow().endpoint()).isEqualTo(endpoint(5));
    }

    @Test
    void overloadedEndpointLosesItsProgram() {
        EndpointChooser chooser = chooser(4, 1);
        chooser.completed(endpoint(2), program(0), program(0), 1_000);
        chooser.report(endpoint(2), new EndpointLoad(100, 8, 0, 0, 0, 8), 0);
        EndpointId chosen =
                chooser.choose(request(program(0), 1_000), 0).orElseThrow().endpoint();
        assertThat(chosen).isNotEqualTo(endpoint(2));
    }

    @Test
    void localZoneWinsWhenEqual() {
        EndpointChooser chooser = EndpointChooser.create(ZoneName.of("a"), new SplittableRandom(1));
        Announcement near = announcement(0, "a", 1);
        Announcement far = announcement(1, "b", 1);
        chooser.apply(new EndpointsDelta(true, 1, 1, List.of(near, far), List.of()), 0);
        for (int i = 0; i < 20; i++) {
            assertThat(chooser.choose(request(null, 1), 0).orElseThrow()).isEqualTo(near);
            chooser.report(near.endpoint(), new EndpointLoad(0, 0, 0, 0, 0, 8), 0);
            chooser.completed(near.endpoint(), null, null, 1);
        }
    }

    @Test
    void newEndpointStartsSlowly() {
        EndpointChooser chooser = chooser(2, 1);
        chooser.apply(new EndpointsDelta(false, 1, 2, List.of(announcement(2, "a", 1)), List.of()), 0);
        int toNew = 0;
        for (int i = 0; i < 16; i++) {
            EndpointId chosen =
                    chooser.choose(request(null, 1), 0).orElseThrow().endpoint();
            toNew += chosen.equals(endpoint(2)) ? 1 : 0;
        }
        assertWithMessage("a third would be the full share of 16").that(toNew).isAtMost(2);
    }

    @Test
    void oldTablesAndOldGenerationsAreIgnored() {
        EndpointChooser chooser = chooser(2, 1);
        chooser.apply(new EndpointsDelta(true, 1, 0, List.of(), List.of()), 0);
        assertThat(chooser.choose(request(null, 1), 0)).isPresent();
        chooser.apply(new EndpointsDelta(true, 2, 1, List.of(announcement(0, "a", 2)), List.of()), 0);
        chooser.apply(new EndpointsDelta(false, 1, 9, List.of(), List.of(endpoint(0))), 0);
        assertThat(chooser.choose(request(null, 1), 0).orElseThrow().generation())
                .isEqualTo(2);
    }

    @Test
    void endpointThatSaysThatItLeavesGetsNothingUntilItIsAnnouncedAnew() {
        EndpointChooser chooser = chooser(1, 1);
        chooser.leaving(endpoint(0));
        chooser.apply(new EndpointsDelta(true, 1, 1, List.of(announcement(0, "a", 1)), List.of()), 0);
        assertThat(chooser.choose(request(null, 1), 0)).isEmpty();
        chooser.apply(new EndpointsDelta(true, 1, 2, List.of(announcement(0, "a", 2)), List.of()), 0);
        assertThat(chooser.choose(request(null, 1), 0)).isPresent();
    }

    @Property(tries = 100)
    void retriesStayWithinTheirShare(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget = RetryBudget.create(0.2, 10);
        int requests = 0;
        int retries = 0;
        long now = 0;
        while (now < 20_000) {
            now += random.nextInt(5);
            budget.request();
            requests++;
            retries += budget.tryRetry(now) ? 1 : 0;
        }
        // A fifth of the requests, 10 a second besides, and what is saved at first.
        assertThat(retries).isAtMost((int) (0.2 * requests + 10 * (now / 1_000 + 1) + 10));
        assertThat(retries).isAtLeast((int) (0.2 * requests) - 1);
    }

    /** Counts the tokens computed again although some endpoint had them. */
    private static final class Wasted {
        private final Map<ProgramKey, Map<EndpointId, Long>> caches = new HashMap<>();
        private long tokens;

        void run(ProgramKey program, EndpointId endpoint, long prompt) {
            Map<EndpointId, Long> cached = caches.computeIfAbsent(program, key -> new HashMap<>());
            long best =
                    cached.values().stream().mapToLong(Long::longValue).max().orElse(0);
            tokens += best - cached.getOrDefault(endpoint, 0L);
            cached.put(endpoint, prompt);
        }
    }

    private static EndpointChooser chooser(int size, long seed) {
        EndpointChooser chooser = EndpointChooser.create(ZoneName.of("a"), new SplittableRandom(seed));
        List<Announcement> announcements = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            announcements.add(announcement(i, "a", 1));
        }
        chooser.apply(new EndpointsDelta(true, 1, 1, announcements, List.of()), 0);
        return chooser;
    }

    private static Announcement announcement(int index, String zone, long generation) {
        return new Announcement(
                endpoint(index),
                generation,
                EndpointKind.ENGINE,
                Set.of(POOL),
                Set.of(),
                ZoneName.of(zone),
                "h:1",
                EndpointState.READY,
                8);
    }

    private static EndpointId endpoint(int index) {
        return EndpointId.of("e" + index);
    }

    private static ProgramKey program(int index) {
        return ProgramKey.of(OrganisationId.of("o"), ProgramId.of("p" + index));
    }

    private static ChoiceRequest request(ProgramKey program, long tokens) {
        return new ChoiceRequest(POOL, "", program, program, tokens, Set.of(), Set.of());
    }
}
