package org.cicadahead.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.fleet.QuotaNeed;
import org.cicadahead.fleet.QuotaShare;
import org.cicadahead.site.SiteOrganisation;
import org.junit.jupiter.api.Test;

/** Tests what all entries together admit against the rate and burst of an organisation. */
class QuotaTableTest {
    private static final String NAME = "o";

    private static Map<String, SiteOrganisation> limits(double rate, double burst) {
        return Map.of(NAME, new SiteOrganisation(NAME, List.of(), rate, burst, null));
    }

    /** Entries that request shares from a leader; responses may be lost. */
    private static final class Fleet {
        private final Map<String, LocalQuota> entries = new HashMap<>();
        private final List<Long> admitted = new ArrayList<>();
        private QuotaTable leader;
        private Map<String, SiteOrganisation> limits;

        Fleet(int size, double rate, double burst, long nowMillis) {
            for (int i = 0; i < size; i++) {
                entries.put("e" + i, LocalQuota.create(NAME, nowMillis));
            }
            leader = QuotaTable.create(nowMillis, QuotaTolerance.NONE);
            limits = limits(rate, burst);
        }

        void request(String entry, long now) {
            entries.get(entry).recordArrival(now);
            if (entries.get(entry).tryAcquire(PriorityClass.CALL, now)) {
                admitted.add(now);
            }
        }

        void requestShare(String entry, int urgent, boolean responseLost, long now) {
            LocalQuota local = entries.get(entry);
            List<QuotaShare> shares =
                    leader.grant(entry, List.of(local.need(Map.of(PriorityClass.CALL, urgent), now)), limits, now);
            if (!responseLost) {
                shares.forEach(share -> local.grant(share, now, QuotaTable.LEASE_MILLIS, now));
            }
        }

        long maxInWindow(long windowMillis) {
            long max = 0;
            int first = 0;
            for (int last = 0; last < admitted.size(); last++) {
                while (admitted.get(last) - admitted.get(first) >= windowMillis) {
                    first++;
                }
                max = Math.max(max, last - first + 1);
            }
            return max;
        }
    }

    /**
     * All entries together must not exceed rate and burst, even if a granted share is lost with its response, or a new
     * leader does not know the shares that the previous one granted.
     */
    @Property(tries = 300)
    void neverAdmitsMoreThanRateAndBurst(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int size,
            @ForAll @IntRange(min = 2, max = 60) int rate) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(size, rate, rate, 0);
        long now = 0;
        for (int step = 0; step < 4_000; step++) {
            now += random.nextInt(10);
            String entry = "e" + random.nextInt(size);
            if (random.nextInt(4) == 0) {
                fleet.requestShare(entry, random.nextInt(5), random.nextInt(5) == 0, now);
            } else {
                fleet.request(entry, now);
            }
            if (random.nextInt(1_500) == 0) {
                fleet.leader = QuotaTable.create(now, QuotaTolerance.NONE);
            }
        }
        double bound = rate * 5 + rate;
        assertThat((double) fleet.maxInWindow(5_000)).isAtMost(bound + 1);
    }

    /**
     * Demand below the rate must be served wherever it arises; an entry must not keep a large share after its demand
     * has moved to another entry.
     */
    @Test
    void servesDemandBelowTheRateThatMovesBetweenEntries() {
        Fleet fleet = new Fleet(4, 40, 40, 0);
        int refused = 0;
        int requestCount = 0;
        for (long now = 10_000; now < 40_000; now += 50) {
            String entry = "e" + (now / 3_000) % 4;
            requestCount++;
            int before = fleet.admitted.size();
            fleet.request(entry, now);
            if (fleet.admitted.size() == before) {
                fleet.requestShare(entry, 1, false, now);
                fleet.request(entry, now + 1);
                refused += fleet.admitted.size() == before ? 1 : 0;
            }
            if (now % 1_000 == 0) {
                fleet.entries.keySet().forEach(each -> fleet.requestShare(each, 0, false, 10_000));
            }
        }
        assertThat(requestCount).isEqualTo(600);
        assertThat(refused).isEqualTo(0);
    }

    /** Entries must continue to serve from their shares while no leader responds, until the lease expires. */
    @Test
    void sharesStayValidWithoutALeaderUntilTheLeaseExpires() {
        Fleet fleet = new Fleet(1, 40, 40, 0);
        for (long now = 10_000; now < 13_000; now += 50) {
            fleet.request("e0", now);
            fleet.requestShare("e0", 1, false, now);
        }
        int before = fleet.admitted.size();
        for (long now = 13_000; now < 13_000 + QuotaTable.LEASE_MILLIS; now += 50) {
            fleet.request("e0", now);
        }
        double shared = 40 * QuotaTable.SHARED_FRACTION * QuotaTable.LEASE_MILLIS / 1_000;
        assertThat((double) (fleet.admitted.size() - before)).isAtLeast(shared * 0.9);
        fleet.request("e0", 13_000 + 2 * QuotaTable.LEASE_MILLIS);
        assertThat(fleet.entries.get("e0").tryAcquire(PriorityClass.CALL, 13_000 + 2 * QuotaTable.LEASE_MILLIS))
                .isFalse();
    }

    /** New programs must not take the last tokens, which running programs need. */
    @Test
    void reservesTheLastTokensForCalls() {
        QuotaTable table = QuotaTable.create(0, QuotaTolerance.NONE);
        LocalQuota local = LocalQuota.create(NAME, 0);
        Map<PriorityClass, Integer> urgent =
                Map.of(PriorityClass.CALL, 1, PriorityClass.NEW, 100, PriorityClass.EXCESSIVE, 100);
        QuotaShare first = table.grant("e", List.of(local.need(urgent, 10_000)), limits(40, 40), 10_000)
                .get(0);
        assertThat(first.extra()).isLessThan(40);
        Map<PriorityClass, Integer> calls = Map.of(PriorityClass.CALL, 100);
        QuotaShare second = table.grant("e", List.of(local.need(calls, 10_000)), limits(40, 40), 10_000)
                .get(0);
        assertThat(second.extra()).isAtLeast((int) (40 * PriorityClass.NEW.reservedBurst()) - 1);
    }

    /**
     * A new leader begins with an empty bucket unless a tolerance is set. With one, it must grant requests at once
     * instead of refusing all programs until the bucket has filled.
     */
    @Test
    void aNewLeaderGrantsAFractionOfTheToleranceAtOnce() {
        QuotaTolerance tolerance = new QuotaTolerance(0.1, 5, 20);
        QuotaTable table = QuotaTable.create(0, tolerance);
        QuotaNeed need = LocalQuota.create(NAME, 0).need(Map.of(PriorityClass.CALL, 100), 0);
        int extra = table.grant("e", List.of(need), limits(30, 30), 0).get(0).extra();
        assertThat(extra).isEqualTo((int) (QuotaTable.INITIAL_FRACTION * tolerance.requests(30, 30)));
    }

    /**
     * Each new leader grants a fraction of the tolerance at once. Two leader changes in one window must not exceed the
     * tolerance together.
     */
    @Property(tries = 200)
    void changesOfTheLeaderStayWithinTheTolerance(@ForAll long seed, @ForAll @IntRange(min = 2, max = 60) int rate) {
        QuotaTolerance tolerance = new QuotaTolerance(0.1, 5, 20);
        Random random = new Random(seed);
        Fleet fleet = new Fleet(3, rate, rate, 0);
        long now = 0;
        long next = 2_000;
        for (int step = 0; step < 6_000; step++) {
            now += random.nextInt(6);
            String entry = "e" + random.nextInt(3);
            fleet.request(entry, now);
            fleet.requestShare(entry, random.nextInt(5), random.nextInt(5) == 0, now);
            if (now > next) {
                next = now + 2_500 + random.nextInt(5_000);
                fleet.leader = QuotaTable.create(now, tolerance);
            }
        }
        assertThat((double) fleet.maxInWindow(5_000)).isAtMost(rate * 5 + rate + tolerance.requests(rate, rate));
    }

    /**
     * A small rate over many entries must be served nearly as by a single bucket. If it were split into a share for
     * each entry, each share would allow only a fraction of a request, and most requests would be refused.
     */
    @Property(tries = 40)
    void manyEntriesServeASmallRateNearlyAsOneBucket(@ForAll long seed) {
        int entries = 20;
        double rate = 6;
        Random random = new Random(seed);
        Fleet fleet = new Fleet(entries, rate, rate, 0);
        double bucket = rate;
        int refused = 0;
        int refusedByOneBucket = 0;
        int requestCount = 0;
        for (long now = 10_000; now < 70_000; now += 10) {
            if (now % 50 == 0) {
                fleet.requestShare("e" + now / 50 % entries, 0, false, now);
            }
            bucket = Math.min(rate, bucket + rate / 100);
            if (random.nextDouble() >= 0.045) {
                continue;
            }
            requestCount++;
            String entry = "e" + random.nextInt(entries);
            int before = fleet.admitted.size();
            fleet.request(entry, now);
            if (fleet.admitted.size() == before) {
                fleet.requestShare(entry, 1, false, now);
                fleet.request(entry, now);
                refused += fleet.admitted.size() == before ? 1 : 0;
            }
            refusedByOneBucket += bucket < 1 ? 1 : 0;
            bucket -= bucket < 1 ? 0 : 1;
        }
        assertThat(refused).isAtMost(refusedByOneBucket + requestCount / 50);
    }
}
