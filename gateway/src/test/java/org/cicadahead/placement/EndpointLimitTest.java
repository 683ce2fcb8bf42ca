package org.cicadahead.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Guards against an endpoint that gets more requests from all entries together than the limit that it states. */
class EndpointLimitTest {
    private static final int WINDOW_MILLIS = 4_000;
    private static final int STEP_MILLIS = 20;
    private static final int CLOCK_SKEW_MILLIS = 500;

    /** The requests that the users allow an endpoint in any four seconds. */
    private static double allowed(double limit) {
        return 1.5 * limit * WINDOW_MILLIS / 1_000 + 5;
    }

    private static List<EndpointLimit> limits(int entries, double limit, Random random) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < entries; i++) {
            names.add("entry-" + random.nextInt(1_000_000) + "-" + i);
        }
        List<EndpointLimit> limits = new ArrayList<>();
        for (String name : names) {
            EntryGroup group = EntryGroup.of(name);
            group.update(names, 0, random.nextInt(CLOCK_SKEW_MILLIS));
            limits.add(new EndpointLimit("endpoint", limit, group, 0));
        }
        return limits;
    }

    /** Returns the largest number of requests in a window when all entries always send as many as they may. */
    private static int maxInWindow(List<EndpointLimit> limits, int startMillis, int endMillis) {
        List<Integer> sent = new ArrayList<>();
        int max = 0;
        int oldest = 0;
        for (int now = startMillis; now < endMillis; now += STEP_MILLIS) {
            for (EndpointLimit each : limits) {
                while (each.delayMillis(now) == 0) {
                    each.take(now);
                    sent.add(now);
                }
            }
            while (oldest < sent.size() && sent.get(oldest) <= now - WINDOW_MILLIS) {
                oldest++;
            }
            max = Math.max(max, sent.size() - oldest);
        }
        return max;
    }

    /** The full buckets of many entries, used at the same moment, must stay within the limit. */
    @Property(tries = 100)
    void allEntriesTogetherStayWithinTheLimit(
            @ForAll @DoubleRange(min = 0, max = 60) double limit,
            @ForAll @IntRange(min = 1, max = 330) int entries,
            @ForAll long seed) {
        List<EndpointLimit> limits = limits(entries, limit, new Random(seed));
        int idleMillis = 30_000;
        limits.forEach(each -> each.delayMillis(idleMillis));
        assertThat((double) maxInWindow(limits, idleMillis, idleMillis + 20_000))
                .isAtMost(allowed(limit));
    }

    /** A limit that is held too strictly makes entries refuse requests that the endpoint would accept. */
    @Property(tries = 50)
    void entriesUseWhatTheEndpointAccepts(
            @ForAll @DoubleRange(min = 1, max = 60) double limit, @ForAll @IntRange(min = 1, max = 60) int entries) {
        List<EndpointLimit> limits = limits(entries, limit, new Random(7));
        int seconds = 60;
        int sent = 0;
        for (int now = 0; now < seconds * 1_000; now += STEP_MILLIS) {
            for (EndpointLimit each : limits) {
                while (each.delayMillis(now) == 0) {
                    each.take(now);
                    sent++;
                }
            }
        }
        assertThat((double) sent).isAtLeast(0.85 * limit * seconds);
    }

    /** Without probes an entry that holds no share would never learn that the limit has ended. */
    @Test
    void everyEntrySendsNowAndThen() {
        for (EndpointLimit each : limits(29, 1, new Random(3))) {
            boolean sends = false;
            for (int now = 0; now < 120_000 && !sends; now += STEP_MILLIS) {
                sends = each.delayMillis(now) == 0;
            }
            assertThat(sends).isTrue();
        }
    }

    /** A caller that returns after the stated delay must not be refused again. */
    @Test
    void theDelayEndsWhenTheNextRequestIsAllowed() {
        for (EndpointLimit each : limits(29, 2.5, new Random(5))) {
            long now = 1_000;
            for (int i = 0; i < 20; i++) {
                now += each.delayMillis(now);
                assertThat(each.delayMillis(now)).isEqualTo(0);
                each.take(now);
                assertThat(each.delayMillis(now)).isGreaterThan(0);
            }
        }
    }

    /** Hubs that restart name few entries at first, which must not enlarge the shares of those. */
    @Test
    void anEntryThatTheHubsLoseStaysInTheGroupForAWhile() {
        EntryGroup group = EntryGroup.of("a");
        group.update(Set.of("a", "b", "c"), 0, 0);
        group.update(Set.of("a"), 1_000, 1_000);
        assertThat(group.members(1_500)).containsExactly("a", "b", "c");
        group.update(Set.of("a", "b"), 2_000, 2_000);
        assertThat(group.members(1_000 + EntryGroup.DEPARTURE_MILLIS)).containsExactly("a", "b");
    }

    /** A limit must end with the first response that states none, but not with a late one to an earlier request. */
    @Test
    void theLimitAppliesUntilALaterRequestIsAnsweredWithoutOne() {
        EndpointRecord record = new EndpointRecord("e", 0, 1, "s", "e:1", "z", 4, EndpointPhase.READY, 0, "");
        KnownEndpoint endpoint = new KnownEndpoint(record, 0);
        EntryGroup alone = EntryGroup.of("a");
        assertThat(endpoint.recordLimit(OptionalDouble.of(2), alone, 90, 100)).isTrue();
        assertThat(endpoint.limitDelayMillis(100)).isGreaterThan(0);
        assertThat(endpoint.recordLimit(OptionalDouble.empty(), alone, 95, 110)).isFalse();
        assertThat(endpoint.limitDelayMillis(110)).isGreaterThan(0);
        assertThat(endpoint.recordLimit(OptionalDouble.empty(), alone, 105, 120))
                .isTrue();
        assertThat(endpoint.limitDelayMillis(120)).isEqualTo(0);
    }
}
