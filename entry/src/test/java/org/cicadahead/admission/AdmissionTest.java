package org.cicadahead.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantReply;
import org.junit.jupiter.api.Test;

/**
 * Tests that all entries together keep to the rate of an organisation, and that no organisation within its rate is
 * refused.
 */
class AdmissionTest {
    private static final OrganisationId NAME = OrganisationId.of("acme");
    private static final long SIMULATED_MILLIS = 4_000;

    /** Simulates entries that exchange grants with one leader over messages that are delayed or lost. */
    private static final class EntryFleet {
        private final Random random;
        private final Organisation organisation;
        private final LeaderBucket leader;
        private final double lossProbability;
        private final List<Admission> entries = new ArrayList<>();
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final List<Long> admitted = new ArrayList<>();
        private final List<AdmissionDecision> refused = new ArrayList<>();
        private long sequence;

        private record Event(long atMillis, long sequence, Runnable action) implements Comparable<Event> {
            @Override
            public int compareTo(Event other) {
                int byTime = Long.compare(atMillis, other.atMillis);
                return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
            }
        }

        EntryFleet(long seed, Organisation organisation, int size, double lossProbability) {
            this.random = new Random(seed);
            this.organisation = organisation;
            this.leader = new LeaderBucket(organisation.ratePerSecond(), organisation.burst());
            this.lossProbability = lossProbability;
            for (int i = 0; i < size; i++) {
                entries.add(Admission.create());
            }
        }

        /** Sends requests at a mean rate with random intervals. */
        void run(double demandPerSecond) {
            for (long now = 0; now < SIMULATED_MILLIS; now++) {
                while (!events.isEmpty() && events.peek().atMillis() <= now) {
                    events.poll().action().run();
                }
                if (random.nextDouble() < demandPerSecond / 1_000) {
                    request(entries.get(random.nextInt(entries.size())), now);
                }
                for (Admission entry : entries) {
                    tick(entry, now);
                }
            }
        }

        private void request(Admission entry, long now) {
            OptionalLong ticket = entry.request(organisation, now);
            if (ticket.isEmpty()) {
                admitted.add(now);
            }
        }

        private void tick(Admission entry, long now) {
            for (AdmissionDecision decision : entry.decide(now)) {
                if (decision.refusal().isPresent()) {
                    refused.add(decision);
                } else {
                    admitted.add(now);
                }
            }
            List<GrantLine> lines = entry.nextBatch(now);
            if (lines.isEmpty()) {
                return;
            }
            long arrivalMillis = now + 1 + random.nextInt(10);
            long replyMillis = arrivalMillis + 1 + random.nextInt(10);
            if (random.nextDouble() < lossProbability) {
                boolean arrived = random.nextBoolean();
                at(arrivalMillis, () -> {
                    if (arrived) {
                        leader.grantRequests(lines.get(0), arrivalMillis);
                    }
                });
                at(now + 300, () -> entry.handleMissingReply(lines, now + 300));
                return;
            }
            at(arrivalMillis, () -> {
                Grant grant = leader.grantRequests(lines.get(0), arrivalMillis);
                at(replyMillis, () -> entry.applyReply(lines, new GrantReply(1_000, List.of(grant)), now, replyMillis));
            });
        }

        private void at(long millis, Runnable action) {
            events.add(new Event(millis, sequence++, action));
        }

        /** Returns the largest overdraft of a single exact token bucket that is charged for all admitted requests. */
        double overdraft() {
            return overdraft(organisation, admitted);
        }

        static double overdraft(Organisation organisation, List<Long> admitted) {
            double level = organisation.burst();
            double maxOverdraft = 0;
            long previousMillis = 0;
            for (long at : admitted) {
                level = Math.min(
                        organisation.burst(), level + organisation.ratePerSecond() * (at - previousMillis) / 1_000);
                level--;
                previousMillis = at;
                maxOverdraft = Math.max(maxOverdraft, -level);
            }
            return maxOverdraft;
        }
    }

    /**
     * Tests that lost and delayed messages do not let the entries admit more than a single exact token bucket would.
     * The leader must not grant requests again whose use it does not know.
     */
    @Property(tries = 150)
    void allEntriesTogetherKeepToTheRate(@ForAll long seed) {
        Random random = new Random(seed);
        Organisation organisation = new Organisation(NAME, 1 + random.nextInt(200), 1 + random.nextInt(100), 1);
        EntryFleet fleet = new EntryFleet(seed, organisation, 1 + random.nextInt(4), random.nextDouble() * 0.3);
        fleet.run(organisation.ratePerSecond() * (0.5 + 4 * random.nextDouble()));
        assertThat(fleet.overdraft()).isAtMost(1e-6);
    }

    /**
     * Shows that independent buckets at three entries admit up to three times the rate, which makes central grants
     * necessary.
     */
    @Test
    void localBucketsWouldExceedTheRate() {
        Organisation organisation = new Organisation(NAME, 50, 10, 1);
        List<Long> admitted = new ArrayList<>();
        double[] levels = {10, 10, 10};
        for (long now = 0; now < SIMULATED_MILLIS; now++) {
            for (int entry = 0; entry < levels.length; entry++) {
                levels[entry] = Math.min(10, levels[entry] + 0.05);
                if (levels[entry] >= 1) {
                    levels[entry]--;
                    admitted.add(now);
                }
            }
        }
        assertThat(EntryFleet.overdraft(organisation, admitted)).isGreaterThan(100.0);
    }

    /** Tests the requirement that, without faults, no organisation within its rate is refused. */
    @Property(tries = 100)
    void noOrganisationWithinItsRateIsRefused(@ForAll long seed) {
        Organisation organisation = new Organisation(NAME, 100, 100, 1);
        EntryFleet fleet = new EntryFleet(seed, organisation, 3, 0);
        fleet.run(70);
        assertThat(fleet.refused).isEmpty();
    }

    /** Tests that an overloaded organisation still gets its rate, and that its refusals name the rate as the reason. */
    @Property(tries = 100)
    void overloadIsServedAtTheRateAndRefusedAsRateLimited(@ForAll long seed) {
        Organisation organisation = new Organisation(NAME, 40, 40, 1);
        EntryFleet fleet = new EntryFleet(seed, organisation, 3, 0);
        fleet.run(200);
        assertWithMessage("at least 95% of the requests that the rate allows")
                .that(fleet.admitted.size())
                .isAtLeast((int) (0.95 * 40 * SIMULATED_MILLIS / 1_000));
        long grantUnavailable = fleet.refused.stream()
                .filter(decision -> decision.refusal().orElseThrow() == RefusalReason.RATE_GRANT_UNAVAILABLE)
                .count();
        assertThat(grantUnavailable).isEqualTo(0);
    }

    @Test
    void waitingRequestsAreAdmittedInOrderOfArrival() {
        Admission admission = Admission.create();
        Organisation organisation = new Organisation(NAME, 10, 10, 1);
        long first = admission.request(organisation, 0).orElseThrow();
        long second = admission.request(organisation, 0).orElseThrow();
        List<GrantLine> lines = admission.nextBatch(0);
        assertThat(lines.get(0).wanted()).isEqualTo(2);
        reply(admission, lines, new Grant(NAME, "g", 1, 0, false), 0, 5);
        assertThat(admission.decide(5)).containsExactly(AdmissionDecision.admitted(first));
        lines = admission.nextBatch(5);
        assertThat(lines.get(0).uses().get(0).spent()).isEqualTo(1);
        reply(admission, lines, new Grant(NAME, "h", 1, 0, false), 5, 10);
        assertThat(admission.decide(10)).containsExactly(AdmissionDecision.admitted(second));
    }

    /**
     * Tests that a grant is not used if its reply took as long as its validity. The leader has dropped the grant by
     * then and may have refilled its bucket, so the organisation could exceed its burst.
     */
    @Test
    void validityIsMeasuredFromTheSendTime() {
        Admission admission = Admission.create();
        Organisation organisation = new Organisation(NAME, 10, 10, 1);
        admission.request(organisation, 0);
        List<GrantLine> lines = admission.nextBatch(0);
        reply(admission, lines, new Grant(NAME, "g", 5, 0, false), 0, 1_000);
        assertWithMessage("the grant had expired on arrival")
                .that(admission.decide(1_000))
                .isEmpty();
        assertThat(admission.request(organisation, 1_000)).isPresent();
    }

    /** Tests that requests wait for the duration of a leader failover, which is not reported as an exceeded rate. */
    @Test
    void controlTimeoutExtendsTheWaitAndIsNotReportedAsRateLimited() {
        Admission admission = Admission.create();
        long ticket = admission.request(new Organisation(NAME, 10, 10, 1), 0).orElseThrow();
        admission.nextBatch(0);
        assertThat(admission.decide(Admission.WAIT_MILLIS)).isEmpty();
        assertThat(admission.decide(Admission.FAILOVER_WAIT_MILLIS))
                .containsExactly(AdmissionDecision.refused(ticket, RefusalReason.RATE_GRANT_UNAVAILABLE, 0));
    }

    /** Tests that unused requests are returned in time; otherwise, the leader counts them as spent. */
    @Test
    void unusedRequestsAreReturnedBeforeTheyExpire() {
        Admission admission = Admission.create();
        admission.request(new Organisation(NAME, 10, 10, 1), 0);
        reply(admission, admission.nextBatch(0), new Grant(NAME, "g", 5, 0, false), 0, 5);
        admission.decide(5);
        GrantLine line = admission.nextBatch(800).get(0);
        assertThat(line.wanted()).isEqualTo(0);
        assertThat(line.uses().get(0).spent()).isEqualTo(1);
        assertThat(line.uses().get(0).closed()).isTrue();
    }

    private static void reply(Admission admission, List<GrantLine> lines, Grant grant, long sent, long now) {
        admission.applyReply(lines, new GrantReply(1_000, List.of(grant)), sent, now);
    }
}
