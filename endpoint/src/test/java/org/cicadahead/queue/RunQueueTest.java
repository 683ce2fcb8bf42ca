package org.cicadahead.queue;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RunId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a run queue that lets an overloaded organisation slow down the others, starves programs that have used
 * many tokens, or loses runs.
 */
class RunQueueTest {
    private static final double[] EVEN_DEMAND = {0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9};
    private static final double[] ONE_OVERLOADED = {5, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9};
    private static final long SIMULATED_MILLIS = 300_000;

    @Property(tries = 20)
    void overloadByOneOrganisationDoesNotReduceTheServiceOfOthers(@ForAll long seed) {
        for (QueuePolicy policy : QueuePolicy.values()) {
            var with = QueueSimulation.run(QueueSimulation.runQueue(), ONE_OVERLOADED, policy, SIMULATED_MILLIS, seed);
            for (int i = 1; i < ONE_OVERLOADED.length; i++) {
                String organisation = "org" + i;
                // Runs that arrive in the last 5 seconds may end after the simulated time.
                double entitled = with.offered.get(organisation) * (1 - 5_000.0 / SIMULATED_MILLIS);
                assertWithMessage("service of %s under %s", organisation, policy)
                        .that(with.served.get(organisation) / entitled)
                        .isAtLeast(0.95);
            }
        }
    }

    /** Verifies that the simulation detects an unfair queue, on which the tests of the run queue depend. */
    @Test
    void fifoQueueReducesTheServiceOfOthers() {
        var fifo = QueueSimulation.run(QueueSimulation.fifo(), ONE_OVERLOADED, QueuePolicy.FAIR, SIMULATED_MILLIS, 1);
        assertThat(fifo.served.get("org1") / (double) fifo.offered.get("org1")).isLessThan(0.95);
    }

    /** Compares means over organisations and seeds, as the p95 of a few hundred runs of one organisation is noisy. */
    @Test
    void overloadByOneOrganisationDoesNotSlowOthersDown() {
        for (QueuePolicy policy : QueuePolicy.values()) {
            double sum = 0;
            for (int seed = 1; seed <= 10; seed++) {
                var without =
                        QueueSimulation.run(QueueSimulation.runQueue(), EVEN_DEMAND, policy, SIMULATED_MILLIS, seed);
                var with =
                        QueueSimulation.run(QueueSimulation.runQueue(), ONE_OVERLOADED, policy, SIMULATED_MILLIS, seed);
                for (int i = 1; i < ONE_OVERLOADED.length; i++) {
                    sum += with.p95("org" + i) / (double) without.p95("org" + i);
                }
            }
            assertWithMessage("mean ratio of the p95 latencies under %s", policy)
                    .that(sum / (10 * (ONE_OVERLOADED.length - 1)))
                    .isAtMost(1.2);
        }
    }

    @Property(tries = 200)
    void everyRunEndsExactlyOnceAndAllCountersReturnToZero(@ForAll long seed) {
        Random random = new Random(seed);
        RunQueue queue = RunQueue.of(new QueueLimits(20, 1_000, 4, 2_000));
        Set<RunId> waiting = new HashSet<>();
        Set<RunId> running = new HashSet<>();
        long now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextInt(500);
            QueuedRun run = run("r" + i, "org" + random.nextInt(3), random.nextInt(5) == 0, now, random);
            OfferResult offer = queue.offer(run, now);
            if (offer.refusal().isEmpty()) {
                waiting.add(run.run());
            }
            offer.evicted()
                    .forEach(
                            evicted -> assertThat(waiting.remove(evicted.run())).isTrue());
            queue.expire(now)
                    .forEach(
                            expired -> assertThat(waiting.remove(expired.run())).isTrue());
            for (Optional<QueuedRun> next = queue.poll(now); next.isPresent(); next = queue.poll(now)) {
                assertThat(waiting.remove(next.get().run())).isTrue();
                assertWithMessage("an exclusive run starts only when no other run is on the engine")
                        .that(!next.get().exclusive() || running.isEmpty())
                        .isTrue();
                running.add(next.get().run());
                assertThat(running.size()).isAtMost(4);
            }
            if (!running.isEmpty() && random.nextInt(3) > 0) {
                RunId ended = running.iterator().next();
                running.remove(ended);
                queue.finished(ended, random.nextInt(400), now);
            }
        }
        while (!waiting.isEmpty() || !running.isEmpty()) {
            for (RunId ended : Set.copyOf(running)) {
                queue.finished(ended, 100, now);
                running.remove(ended);
            }
            now += 10;
            Optional<QueuedRun> next = queue.poll(now);
            assertWithMessage("a waiting run starts once the engine is empty")
                    .that(next.isPresent() || waiting.isEmpty())
                    .isTrue();
            next.ifPresent(run -> {
                assertThat(waiting.remove(run.run())).isTrue();
                running.add(run.run());
            });
        }
        assertThat(queue.queued()).isEqualTo(0);
        assertThat(queue.queuedTokens()).isEqualTo(0);
        assertThat(queue.runningTokens()).isEqualTo(0);
    }

    @Test
    void longProgramIsNotStarvedByShortOnes() {
        RunQueue queue = RunQueue.of(new QueueLimits(256, 1_000, 1, 1_000));
        queue.offer(attained("long", 200_000, 0), 0);
        long now = 0;
        RunId started = null;
        for (int i = 0; started == null || !started.value().equals("long"); i++) {
            queue.offer(attained("short" + i, 0, now), now);
            started = queue.poll(now).orElseThrow().run();
            queue.finished(started, 10, now);
            now += 100;
        }
        assertWithMessage("wait in milliseconds").that(now).isAtMost(20_000);
    }

    @Test
    void fullQueueEvictsForTheOrganisationWithTheSmallerShare() {
        RunQueue queue = RunQueue.of(new QueueLimits(2, 1_000, 1, 1_000));
        queue.offer(attained("a", 0, 0), 0);
        queue.offer(attained("b", 0, 0), 0);
        Random random = new Random(1);
        OfferResult offer = queue.offer(run("c", "other", false, 0, random), 0);
        assertThat(offer.refusal()).isEmpty();
        assertThat(offer.evicted().get(0).run()).isEqualTo(RunId.of("b"));
        assertThat(queue.offer(run("d", "other", false, 0, random), 0).refusal())
                .hasValue(RefusalReason.ENDPOINT_OVERLOADED);
    }

    private static QueuedRun attained(String id, long attained, long now) {
        return new QueuedRun(
                RunId.of(id),
                OrganisationId.of("org"),
                1,
                attained,
                QueuePolicy.LATENCY,
                false,
                300,
                1,
                now,
                Long.MAX_VALUE);
    }

    private static QueuedRun run(String id, String organisation, boolean exclusive, long now, Random random) {
        return new QueuedRun(
                RunId.of(id),
                OrganisationId.of(organisation),
                1,
                random.nextInt(10_000),
                QueuePolicy.values()[random.nextInt(2)],
                exclusive,
                1 + random.nextInt(300),
                random.nextInt(100),
                now,
                now + 1_000 + random.nextInt(20_000));
    }
}
