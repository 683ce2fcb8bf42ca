package org.cicadahead.state;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.AbandonClaim;
import org.cicadahead.protocol.ClaimOutcome;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.FinishClaim;
import org.cicadahead.protocol.OrphanClaims;
import org.cicadahead.protocol.Outcome;
import org.cicadahead.protocol.ReleaseClaim;
import org.cicadahead.protocol.StartClaim;
import org.junit.jupiter.api.Test;

/**
 * Guards against running a non-repeatable request twice, and against reporting one as not run that may have run, when
 * commands are resent or delayed and entries or endpoints fail.
 */
class ClaimTableTest {
    private static final Outcome OUTCOME = new Outcome(200, "text/plain", new byte[] {1}, Tables.E1);

    private final Tables tables = new Tables();

    @Test
    void resentBeginGetsTheSameFence() {
        ClaimReply first = begin(1, "n1");
        assertThat(begin(1, "n1")).isEqualTo(first);
        assertThat(begin(1, "n2").outcome()).isEqualTo(ClaimOutcome.RUNNING);
        assertThat(begin(2, "n1").outcome()).isEqualTo(ClaimOutcome.REUSED);
    }

    @Test
    void startIsAcceptedOnceUnderTheCurrentFence() {
        long fence = begin(1, "n1").fence();
        assertThat(tables.submit(Tables.start("k", fence + 1, "r1"))).isFalse();
        assertThat(tables.submit(Tables.start("other", fence, "r1"))).isFalse();
        assertThat(tables.submit(Tables.start("k", fence, "r1"))).isTrue();
        assertThat(tables.submit(Tables.start("k", fence, "r1"))).isTrue();
        assertThat(tables.submit(Tables.start("k", fence, "r2"))).isFalse();
        assertThat(tables.submit(release(fence))).isFalse();
        assertThat(begin(1, "n2").outcome()).isEqualTo(ClaimOutcome.RUNNING);
    }

    @Test
    void releasedClaimIgnoresTheLateStartAndRunsUnderAHigherFence() {
        long fence = begin(1, "n1").fence();
        assertThat(tables.submit(release(fence))).isTrue();
        assertThat(tables.submit(release(fence))).isTrue();
        assertThat(tables.submit(Tables.start("k", fence, "r1"))).isFalse();
        long next = begin(1, "n2").fence();
        assertThat(next).isGreaterThan(fence);
        assertThat(tables.submit(Tables.start("k", fence, "r1"))).isFalse();
        assertThat(tables.submit(release(fence))).isFalse();
        assertThat(tables.submit(Tables.start("k", next, "r2"))).isTrue();
    }

    @Test
    void pendingClaimOfALostEntryIsTakenOver() {
        long fence = begin(1, "n1").fence();
        tables.now += ClaimTable.PENDING_LEASE_MILLIS - 1;
        assertThat(begin(1, "n1").fence()).isEqualTo(fence);
        tables.now += ClaimTable.PENDING_LEASE_MILLIS - 1;
        assertThat(begin(1, "n2").outcome()).isEqualTo(ClaimOutcome.RUNNING);
        tables.now++;
        long next = begin(1, "n2").fence();
        assertThat(tables.submit(Tables.start("k", fence, "r1"))).isFalse();
        assertThat(tables.submit(Tables.start("k", next, "r2"))).isTrue();
    }

    @Test
    void onlyTheRunThatMayHaveStartedAbandons() {
        long fence = begin(1, "n1").fence();
        tables.submit(Tables.start("k", fence, "r1"));
        assertThat(tables.submit(abandon(fence, "r2"))).isFalse();
        assertThat(tables.submit(abandon(fence, "r1"))).isTrue();
        assertThat(tables.submit(abandon(fence, "r1"))).isTrue();
        assertThat(tables.submit(Tables.start("k", fence, "r1"))).isFalse();
        assertThat(tables.submit(finish(fence, "r1", OUTCOME))).isFalse();
        assertThat(begin(1, "n2").outcome()).isEqualTo(ClaimOutcome.GRANTED);
    }

    @Test
    void finishedClaimIsAnsweredFromTheRecord() {
        long fence = begin(1, "n1").fence();
        assertThat(tables.submit(finish(fence, "r1", OUTCOME))).isFalse();
        tables.submit(Tables.start("k", fence, "r1"));
        assertThat(tables.submit(finish(fence, "r2", OUTCOME))).isFalse();
        assertThat(tables.submit(finish(fence, "r1", OUTCOME))).isTrue();
        assertThat(tables.submit(finish(fence, "r1", OUTCOME))).isTrue();
        assertThat(tables.submit(finish(fence, "r1", null))).isFalse();
        assertThat(tables.submit(abandon(fence, "r1"))).isFalse();
        assertThat(begin(1, "n2")).isEqualTo(new ClaimReply(ClaimOutcome.DONE, 0, OUTCOME));
    }

    @Test
    void orphanedClaimStaysUnknown() {
        long fence = begin(1, "n1").fence();
        tables.submit(Tables.start("k", fence, "r1"));
        tables.submit(new OrphanClaims(Tables.E1, 1));
        assertThat(begin(1, "n2").outcome()).isEqualTo(ClaimOutcome.RUNNING);
        tables.submit(new OrphanClaims(Tables.E2, 9));
        assertThat(begin(1, "n2").outcome()).isEqualTo(ClaimOutcome.RUNNING);
        tables.submit(new OrphanClaims(Tables.E1, 2));
        assertThat(begin(1, "n2").outcome()).isEqualTo(ClaimOutcome.UNKNOWN);
        assertThat(tables.submit(finish(fence, "r1", OUTCOME))).isFalse();
        assertThat(tables.state.claims().startedByEndpoint()).isEmpty();
    }

    @Test
    void claimsAreRemovedAfterADayUnlessStarted() {
        long fence = begin(1, "n1").fence();
        tables.now += ClaimTable.RETENTION_MILLIS;
        assertThat(tables.submit(Tables.start("k", fence, "r1"))).isFalse();
        fence = begin(1, "n2").fence();
        tables.submit(Tables.start("k", fence, "r1"));
        tables.now += 2 * ClaimTable.RETENTION_MILLIS;
        assertThat(begin(1, "n3").outcome()).isEqualTo(ClaimOutcome.RUNNING);
        tables.submit(finish(fence, "r1", OUTCOME));
        tables.now += ClaimTable.RETENTION_MILLIS - 1;
        assertThat(begin(1, "n3").outcome()).isEqualTo(ClaimOutcome.DONE);
        tables.now++;
        assertThat(begin(1, "n3").outcome()).isEqualTo(ClaimOutcome.GRANTED);
    }

    /**
     * Checks that no request runs twice and that none starts after an accepted release or abandonment. An endpoint runs
     * a request only after an accepted start and never after it gave up; the network repeats and delays commands.
     */
    @Property(tries = 500)
    void claimRunsAtMostOnce(@ForAll long seed) {
        new Interleaving(seed).run();
    }

    private static ReleaseClaim release(long fence) {
        return new ReleaseClaim(new ClaimRef(Tables.key("k"), fence));
    }

    private static AbandonClaim abandon(long fence, String run) {
        return new AbandonClaim(new ClaimRef(Tables.key("k"), fence), RunId.of(run));
    }

    private static FinishClaim finish(long fence, String run, Outcome outcome) {
        return new FinishClaim(new ClaimRef(Tables.key("k"), fence), RunId.of(run), outcome);
    }

    private ClaimReply begin(int digest, String nonce) {
        return (ClaimReply) tables.apply(Tables.claim("k", digest, nonce));
    }

    /** Entries and endpoints that send commands, resend them and give up in random order. */
    private static final class Interleaving {
        private final Random random;
        private final String label;
        private final Tables table = new Tables();
        private final List<Long> fences = new ArrayList<>(List.of(0L));
        private final List<Command> sent = new ArrayList<>();
        private final Set<RunId> executed = new HashSet<>();
        private final Set<RunId> abandonedRuns = new HashSet<>();
        private final Set<Long> closedFences = new HashSet<>();

        Interleaving(long seed) {
            random = new Random(seed);
            label = "seed " + seed;
        }

        void run() {
            for (int i = 0; i < 200; i++) {
                table.now += random.nextInt(3_000);
                if (random.nextInt(6) == 0) {
                    begin();
                } else {
                    Command command = next();
                    sent.add(command);
                    deliver(command);
                }
                assertWithMessage(label).that(executed.size()).isAtMost(1);
            }
        }

        private void begin() {
            ClaimReply reply = (ClaimReply) table.apply(Tables.claim("k", 1, "n" + random.nextInt(50)));
            if (reply.outcome() == ClaimOutcome.GRANTED) {
                assertWithMessage(label).that(executed).isEmpty();
                fences.add(reply.fence());
            }
        }

        private Command next() {
            long fence = fences.get(random.nextInt(fences.size()));
            RunId run = RunId.of("r" + fence + "-" + random.nextInt(2));
            int choice = random.nextInt(10);
            if (choice < 4) {
                return Tables.start("k", fence, run.value());
            } else if (choice < 5 && !executed.contains(run)) {
                abandonedRuns.add(run);
                return abandon(fence, run.value());
            } else if (choice < 6) {
                return release(fence);
            } else if (choice < 7 && executed.contains(run)) {
                return finish(fence, run.value(), OUTCOME);
            } else if (choice < 8) {
                return new OrphanClaims(Tables.E1, random.nextInt(3));
            }
            return sent.isEmpty() ? release(fence) : sent.get(random.nextInt(sent.size()));
        }

        private void deliver(Command command) {
            if (!table.submit(command)) {
                return;
            }
            if (command instanceof AbandonClaim abandoned) {
                closedFences.add(abandoned.claim().fence());
            } else if (command instanceof ReleaseClaim released) {
                closedFences.add(released.claim().fence());
            } else if (command instanceof StartClaim started) {
                assertWithMessage(label)
                        .that(closedFences)
                        .doesNotContain(started.claim().fence());
                boolean answered = random.nextBoolean();
                if (answered && !abandonedRuns.contains(started.run())) {
                    executed.add(started.run());
                }
            }
        }
    }
}
