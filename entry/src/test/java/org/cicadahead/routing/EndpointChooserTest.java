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

/**
 * Tests that the choice of endpoints leaves no pool empty, avoids herding and keeps prompt caches in use, and that
 * retries are limited.
 */
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
        Set<EndpointId> stillChosen = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            stillChosen.add(chooser.choose(request(null, 1), now).orElseThrow().endpoint());
        }
        assertThat(stillChosen.size()).isAtLeast(size - size / 2);
    }

    @Property(tries = 100)
    void forbiddenEndpointsAreNeverChosenAndAvoidedOnesOnlyAsLastResort(@ForAll long seed) {
        EndpointChooser chooser = chooser(3, seed);
        Set<EndpointId> forbidden = Set.of(endpoint(1));
        Set<EndpointId> others = Set.of(endpoint(0), endpoint(2));
        ChoiceRequest lastResort = new ChoiceRequest(POOL, "", null, null, 1, others, forbidden);
        assertThat(others).contains(chooser.choose(lastResort, 0).orElseThrow().endpoint());
        ChoiceRequest avoidingOthers = new ChoiceRequest(POOL, "", null, null, 1, others, Set.of());
        assertThat(chooser.choose(avoidingOthers, 0).orElseThrow().endpoint()).isEqualTo(endpoint(1));
        ChoiceRequest allForbidden =
                new ChoiceRequest(POOL, "", null, null, 1, Set.of(), Set.of(endpoint(0), endpoint(1), endpoint(2)));
        assertThat(chooser.choose(allForbidden, 0)).isEmpty();
    }

    /**
     * Tests that thirty entries that see the same load report, with one idle endpoint, do not all choose that endpoint.
     */
    @Property(tries = 50)
    void entriesWithTheSameLoadReportDoNotHerd(@ForAll long seed) {
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
        // Choosing the least loaded endpoint would send all 30 there. Two random candidates out of ten include a given
        // one with probability 1/5.
        assertThat(sent.getOrDefault(endpoint(0), 0)).isAtMost(entries / 2);
    }

    /**
     * Tests that all entries choose the same default endpoint for a program. Steps of one program arrive at different
     * entries; an entry that has not seen the program would otherwise send it to an endpoint without its cached prefix.
     */
    @Property(tries = 100)
    void entriesChooseTheSameEndpointForAnUnknownProgram(@ForAll long seed) {
        Set<EndpointId> defaultEndpoints = new HashSet<>();
        for (int entry = 0; entry < 10; entry++) {
            EndpointChooser chooser = chooser(6, seed + entry);
            defaultEndpoints.add(chooser.choose(request(program((int) (seed % 1_000)), 4_000), 0)
                    .orElseThrow()
                    .endpoint());
        }
        assertThat(defaultEndpoints).hasSize(1);
    }

    /**
     * Tests that the default endpoint of a program is not chosen if it is overloaded. Otherwise it would become a hot
     * spot, as all entries choose it for the same program.
     */
    @Test
    void idleEndpointIsPreferredToALoadedDefaultEndpoint() {
        EndpointChooser chooser = chooser(2, 1);
        EndpointId defaultEndpoint =
                chooser.choose(request(program(1), 1_000), 0).orElseThrow().endpoint();
        chooser.report(defaultEndpoint, new EndpointLoad(100, 8, 0, 0, 0, 8), 0);
        assertThat(chooser.choose(request(program(1), 1_000), 0).orElseThrow().endpoint())
                .isNotEqualTo(defaultEndpoint);
    }

    /** Tests the requirement that at most a fifth of the tokens are recomputed that round robin would recompute. */
    @Property(tries = 20)
    void fewerTokensAreRecomputedThanUnderRoundRobin(@ForAll long seed) {
        Random random = new Random(seed);
        EndpointChooser chooser = chooser(6, seed);
        List<EndpointId> endpoints = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            endpoints.add(endpoint(i));
        }
        RoundRobin roundRobin = new RoundRobin(endpoints);
        RecomputedTokens recomputed = new RecomputedTokens();
        RecomputedTokens roundRobinRecomputed = new RecomputedTokens();
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
            recomputed.run(program, chosen, tokens);
            roundRobinRecomputed.run(program, roundRobin.choose(), tokens);
        }
        assertThat(recomputed.tokens * 5).isAtMost(roundRobinRecomputed.tokens);
    }

    @Test
    void siblingIsSentToTheEndpointOfItsRoot() {
        EndpointChooser chooser = chooser(8, 1);
        ProgramKey root = program(0);
        chooser.completed(endpoint(5), root, root, 10_000);
        ChoiceRequest sibling = new ChoiceRequest(POOL, "", program(1), root, 10_000, Set.of(), Set.of());
        assertThat(chooser.choose(sibling, 0).orElseThrow().endpoint()).isEqualTo(endpoint(5));
    }

    @Test
    void overloadedEndpointIsNotChosenDespiteItsCache() {
        EndpointChooser chooser = chooser(4, 1);
        chooser.completed(endpoint(2), program(0), program(0), 1_000);
        chooser.report(endpoint(2), new EndpointLoad(100, 8, 0, 0, 0, 8), 0);
        EndpointId chosen =
                chooser.choose(request(program(0), 1_000), 0).orElseThrow().endpoint();
        assertThat(chosen).isNotEqualTo(endpoint(2));
    }

    @Test
    void localZoneIsPreferredAtEqualLoad() {
        EndpointChooser chooser = EndpointChooser.create(ZoneName.of("a"), new SplittableRandom(1));
        Announcement local = announcement(0, "a", 1);
        Announcement remote = announcement(1, "b", 1);
        chooser.apply(new EndpointsDelta(true, 1, 1, List.of(local, remote), List.of()), 0);
        for (int i = 0; i < 20; i++) {
            assertThat(chooser.choose(request(null, 1), 0).orElseThrow()).isEqualTo(local);
            chooser.report(local.endpoint(), new EndpointLoad(0, 0, 0, 0, 0, 8), 0);
            chooser.completed(local.endpoint(), null, null, 1);
        }
    }

    @Test
    void newEndpointGetsFewRequestsDuringSlowStart() {
        EndpointChooser chooser = chooser(2, 1);
        chooser.apply(new EndpointsDelta(false, 1, 2, List.of(announcement(2, "a", 1)), List.of()), 0);
        int sentToNew = 0;
        for (int i = 0; i < 16; i++) {
            EndpointId chosen =
                    chooser.choose(request(null, 1), 0).orElseThrow().endpoint();
            sentToNew += chosen.equals(endpoint(2)) ? 1 : 0;
        }
        assertWithMessage("without slow start, the new endpoint would get a third of 16 requests")
                .that(sentToNew)
                .isAtMost(2);
    }

    /** Tests that a delayed update with an older epoch or version does not undo a newer one. */
    @Test
    void staleTableUpdatesAreIgnored() {
        EndpointChooser chooser = chooser(2, 1);
        chooser.apply(new EndpointsDelta(true, 1, 0, List.of(), List.of()), 0);
        assertThat(chooser.choose(request(null, 1), 0)).isPresent();
        chooser.apply(new EndpointsDelta(true, 2, 1, List.of(announcement(0, "a", 2)), List.of()), 0);
        chooser.apply(new EndpointsDelta(false, 1, 9, List.of(), List.of(endpoint(0))), 0);
        assertThat(chooser.choose(request(null, 1), 0).orElseThrow().generation())
                .isEqualTo(2);
    }

    /** Tests that repeating the announcement that preceded the refusal does not clear the leaving mark. */
    @Test
    void leavingEndpointIsNotChosenUntilItIsAnnouncedAgain() {
        EndpointChooser chooser = chooser(1, 1);
        chooser.markLeaving(endpoint(0));
        chooser.apply(new EndpointsDelta(true, 1, 1, List.of(announcement(0, "a", 1)), List.of()), 0);
        assertThat(chooser.choose(request(null, 1), 0)).isEmpty();
        chooser.apply(new EndpointsDelta(true, 1, 2, List.of(announcement(0, "a", 2)), List.of()), 0);
        assertThat(chooser.choose(request(null, 1), 0)).isPresent();
    }

    @Property(tries = 100)
    void retriesStayWithinTheBudget(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget = RetryBudget.create(0.2, 10);
        int requests = 0;
        int retries = 0;
        long now = 0;
        while (now < 20_000) {
            now += random.nextInt(5);
            budget.countRequest();
            requests++;
            retries += budget.tryRetry(now) ? 1 : 0;
        }
        // The limit is a fifth of the requests, plus 10 per second, plus the initial tokens.
        assertThat(retries).isAtMost((int) (0.2 * requests + 10 * (now / 1_000 + 1) + 10));
        assertThat(retries).isAtLeast((int) (0.2 * requests) - 1);
    }

    /** Counts the tokens that are recomputed although another endpoint has cached them. */
    private static final class RecomputedTokens {
        private final Map<ProgramKey, Map<EndpointId, Long>> caches = new HashMap<>();
        private long tokens;

        void run(ProgramKey program, EndpointId endpoint, long prompt) {
            Map<EndpointId, Long> cached = caches.computeIfAbsent(program, key -> new HashMap<>());
            long longestCached =
                    cached.values().stream().mapToLong(Long::longValue).max().orElse(0);
            tokens += longestCached - cached.getOrDefault(endpoint, 0L);
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
