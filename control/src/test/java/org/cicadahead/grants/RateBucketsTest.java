package org.cicadahead.grants;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.protocol.GrantUse;
import org.junit.jupiter.api.Test;

/** Guards against admitting more than rate and burst allow, and against refusing an organisation within its rate. */
class RateBucketsTest {
    private static final OrganisationId ACME = OrganisationId.of("acme");
    private static final DaemonId A = DaemonId.of("a");
    private static final DaemonId B = DaemonId.of("b");
    private static final Rate TEN_PER_SECOND = new Rate(10 * Rate.UNITS_PER_REQUEST / 1_000, 10);

    @Test
    void newLeaderGrantsOnlyWhatWasRefilledSinceItTookOver() {
        RateBuckets buckets = RateBuckets.create(7, 1_000);
        Grant none = ask(buckets, 1_000, A, 5, TEN_PER_SECOND);
        assertThat(none.requests()).isEqualTo(0);
        assertThat(none.withinRate()).isTrue();
        assertThat(none.retryAfterMillis()).isEqualTo(100);
        assertThat(ask(buckets, 1_099, A, 5, TEN_PER_SECOND).requests()).isEqualTo(0);
        // Until 2,100 ms five requests of the previous leader may be outstanding, which is the limit.
        assertThat(ask(buckets, 2_099, A, 5, TEN_PER_SECOND).requests()).isEqualTo(0);
        assertThat(ask(buckets, 2_100, A, 5, TEN_PER_SECOND).requests()).isEqualTo(5);
    }

    @Test
    void reportsAreCumulativeAndUnusedRequestsAreReturned() {
        RateBuckets buckets = withFullBucket();
        Grant grant = ask(buckets, 100_000, A, 5, TEN_PER_SECOND);
        assertThat(ask(buckets, 100_000, B, 5, TEN_PER_SECOND).requests()).isEqualTo(0);
        GrantUse use = new GrantUse(grant.grantId(), 2, false);
        assertThat(ask(buckets, 100_000, B, 9, TEN_PER_SECOND, use, use).requests())
                .isEqualTo(1);
        GrantUse closed = new GrantUse(grant.grantId(), 3, true);
        ask(buckets, 100_000, A, 0, TEN_PER_SECOND, closed, closed, use);
        assertThat(ask(buckets, 100_000, B, 9, TEN_PER_SECOND).requests()).isEqualTo(4);
    }

    @Test
    void expiredGrantCountsAsSpent() {
        RateBuckets buckets = withFullBucket();
        Grant lost = ask(buckets, 100_000, A, 5, new Rate(0, 10));
        assertThat(lost.requests()).isEqualTo(5);
        assertThat(ask(buckets, 101_099, A, 9, new Rate(0, 10)).requests()).isEqualTo(0);
        assertThat(ask(buckets, 101_100, A, 9, new Rate(0, 10)).requests()).isEqualTo(5);
        GrantUse late = new GrantUse(lost.grantId(), 0, true);
        ask(buckets, 101_100, A, 0, new Rate(0, 10), late);
        assertThat(ask(buckets, 102_300, A, 9, new Rate(0, 10)).requests()).isEqualTo(0);
    }

    @Test
    void lowerBurstReducesTheLevelImmediately() {
        RateBuckets buckets = withFullBucket();
        assertThat(ask(buckets, 100_000, A, 9, new Rate(0, 1)).requests()).isEqualTo(1);
        assertThat(ask(buckets, 102_000, A, 9, new Rate(0, 1)).requests()).isEqualTo(0);
        assertThat(ask(buckets, 102_000, A, 9, TEN_PER_SECOND).requests()).isEqualTo(0);
    }

    @Test
    void organisationOverItsRateCountsAsOverRate() {
        RateBuckets buckets = withFullBucket();
        Grant grant = ask(buckets, 100_000, A, 50, TEN_PER_SECOND);
        Grant more = ask(buckets, 100_000, A, 50, TEN_PER_SECOND, new GrantUse(grant.grantId(), 5, true));
        GrantUse used = new GrantUse(more.grantId(), 5, true);
        Grant refused = ask(buckets, 100_000, A, 50, TEN_PER_SECOND, used);
        assertThat(refused.requests()).isEqualTo(0);
        assertThat(refused.withinRate()).isFalse();
        assertThat(refused.retryAfterMillis()).isEqualTo(100);
        assertThat(buckets.grantStats().get(0).deniedOverRate()).isEqualTo(1);
    }

    @Test
    void entriesShareTheAvailableRequests() {
        RateBuckets buckets = withFullBucket();
        ask(buckets, 100_000, B, 1, new Rate(0, 20));
        Grant shared = ask(buckets, 100_000, A, 9, new Rate(0, 20));
        assertThat(shared.requests()).isEqualTo(5);
    }

    /** Guards against rounding to whole requests or milliseconds, which loses or adds requests over a long time. */
    @Property(tries = 50)
    void saturatedEntryGetsTheWholeRate(@ForAll long seed) {
        Random random = new Random(seed);
        Rate rate = new Rate(1 + random.nextInt(200_000_000), 2 + random.nextInt(50));
        RateBuckets buckets = RateBuckets.create(1, 0);
        long admitted = 0;
        GrantUse[] uses = {};
        long end = 60_000;
        for (long now = 0; now <= end; now++) {
            Grant grant = ask(buckets, now, A, 1_000, rate, uses);
            admitted += grant.requests();
            uses = new GrantUse[] {new GrantUse(grant.grantId(), grant.requests(), true)};
        }
        long refill = rate.unitsPerMilli() * end;
        assertThat(admitted).isAtMost(refill / Rate.UNITS_PER_REQUEST + rate.burst());
        // In the first 1,100 ms of a new leader the outstanding limit may cap the bucket below its burst.
        long lostAtMost = rate.unitsPerMilli() * 1_100 / Rate.UNITS_PER_REQUEST + rate.outstandingLimit() + 1;
        assertThat(admitted).isAtLeast(refill / Rate.UNITS_PER_REQUEST - lostAtMost);
    }

    /**
     * Checks that no time window admits more than rate x time + burst, although replies are lost, reports are resent,
     * grants expire and leaders change.
     */
    @Property(tries = 300)
    void admittedNeverExceedsRateAndBurstInAnyWindow(@ForAll long seed) {
        new Simulation(seed).run();
    }

    private static RateBuckets withFullBucket() {
        RateBuckets buckets = RateBuckets.create(1, 0);
        ask(buckets, 0, A, 1, TEN_PER_SECOND);
        ask(buckets, 99_999, A, 0, TEN_PER_SECOND);
        return buckets;
    }

    private static Grant ask(RateBuckets buckets, long now, DaemonId entry, int wanted, Rate rate, GrantUse... uses) {
        GrantLine line = new GrantLine(ACME, wanted, List.of(uses));
        return buckets.serve(now, new GrantRequest(entry, 1, List.of(line)), o -> Optional.of(rate))
                .grants()
                .get(0);
    }

    /** Entries that use grants correctly over a network that loses, delays and repeats messages. */
    private static final class Simulation {
        private static final int STEPS = 600;

        private final long seed;
        private final Random random;
        private final List<HeldGrant> held = new ArrayList<>();
        private final List<long[]> rates = new ArrayList<>();
        private final List<Long> admissions = new ArrayList<>();
        private RateBuckets buckets = RateBuckets.create(1, 0);
        private Rate rate;
        private long epoch = 1;
        private long now;

        Simulation(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
            changeRate();
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                now += random.nextInt(random.nextInt(10) == 0 ? 700 : 40);
                int action = random.nextInt(100);
                if (action < 2) {
                    epoch++;
                    buckets = RateBuckets.create(epoch, now);
                } else if (action < 4) {
                    changeRate();
                    ask(buckets, now, A, 0, rate);
                } else if (action < 50) {
                    request();
                } else {
                    admit();
                }
            }
            checkWindows();
        }

        private void changeRate() {
            rate = new Rate(random.nextInt(60_000_000), 1 + random.nextInt(12));
            rates.add(new long[] {now, rate.unitsPerMilli(), rate.burst()});
        }

        private void request() {
            DaemonId entry = DaemonId.of("e" + random.nextInt(3));
            List<GrantUse> uses = new ArrayList<>();
            for (HeldGrant grant : held) {
                if (grant.entry.equals(entry) && random.nextInt(3) > 0) {
                    grant.closed |= random.nextInt(3) == 0;
                    grant.reports.add(new GrantUse(grant.id, grant.spent, grant.closed));
                }
                if (grant.entry.equals(entry) && !grant.reports.isEmpty() && random.nextInt(3) > 0) {
                    uses.add(grant.reports.get(random.nextInt(grant.reports.size())));
                }
            }
            long sent = now;
            now += random.nextInt(30);
            Grant grant = ask(buckets, now, entry, 1 + random.nextInt(20), rate, uses.toArray(GrantUse[]::new));
            if (grant.requests() > 0 && random.nextInt(4) > 0) {
                held.add(new HeldGrant(entry, grant.grantId(), grant.requests(), sent + RateBuckets.VALID_MILLIS));
            }
        }

        private void admit() {
            for (HeldGrant grant : held) {
                boolean spendsAll = random.nextBoolean();
                while (spendsAll && !grant.closed && grant.spent < grant.requests && now < grant.untilMillis) {
                    grant.spent++;
                    admissions.add(now);
                }
            }
        }

        private void checkWindows() {
            for (int from = 0; from < admissions.size(); from++) {
                for (int to = from; to < admissions.size(); to++) {
                    long start = admissions.get(from);
                    long end = admissions.get(to);
                    long allowed = refill(end) - refill(start) + burst(start, end) * Rate.UNITS_PER_REQUEST;
                    long used = (to - from + 1) * Rate.UNITS_PER_REQUEST;
                    assertWithMessage("seed %s from %s to %s ms", seed, start, end)
                            .that(used)
                            .isAtMost(allowed);
                }
            }
        }

        private long refill(long until) {
            long sum = 0;
            for (int i = 0; i < rates.size(); i++) {
                long end = i + 1 < rates.size() ? Math.min(until, rates.get(i + 1)[0]) : until;
                sum += Math.max(0, end - rates.get(i)[0]) * rates.get(i)[1];
            }
            return sum;
        }

        /**
         * Returns the largest burst in force in a window. A grant under an older burst remains usable until it expires.
         */
        private long burst(long start, long end) {
            long largest = 0;
            for (int i = 0; i < rates.size(); i++) {
                boolean superseded = i + 1 < rates.size()
                        && rates.get(i + 1)[0] < start - RateBuckets.VALID_MILLIS - RateBuckets.MARGIN_MILLIS;
                if (!superseded && rates.get(i)[0] <= end) {
                    largest = Math.max(largest, rates.get(i)[2]);
                }
            }
            return largest;
        }
    }

    /** A grant that an entry holds, with the reports that it may resend. */
    private static final class HeldGrant {
        private final DaemonId entry;
        private final String id;
        private final long requests;
        private final long untilMillis;
        private final List<GrantUse> reports = new ArrayList<>();
        private long spent;
        private boolean closed;

        HeldGrant(DaemonId entry, String id, long requests, long untilMillis) {
            this.entry = entry;
            this.id = id;
            this.requests = requests;
            this.untilMillis = untilMillis;
        }
    }
}
