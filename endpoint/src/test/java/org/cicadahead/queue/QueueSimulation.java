package org.cicadahead.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RunId;

/** Simulates an engine with a fixed number of slots in virtual time, fed by the run queue or by a FIFO queue. */
final class QueueSimulation {
    static final int SLOTS = 16;
    static final long MILLIS_PER_TOKEN = 20;
    private static final int MEAN_TOKENS = 100;

    /** The queueing discipline to simulate. */
    interface Discipline {
        boolean offer(QueuedRun run, long now);

        Optional<QueuedRun> poll(long now);

        void finished(QueuedRun run, long now);
    }

    /** Returns the queue under test. */
    static Discipline runQueue() {
        RunQueue queue = RunQueue.of(new QueueLimits(QueueLimits.DEFAULT_MAX_QUEUED, 1 << 30, SLOTS, 1 << 30));
        return new Discipline() {
            @Override
            public boolean offer(QueuedRun run, long now) {
                return queue.offer(run, now).refusal().isEmpty();
            }

            @Override
            public Optional<QueuedRun> poll(long now) {
                return queue.poll(now);
            }

            @Override
            public void finished(QueuedRun run, long now) {
                queue.finished(run.run(), run.tokens(), now);
            }
        };
    }

    /** Returns a FIFO queue with the same limit of waiting runs. */
    static Discipline fifo() {
        Deque<QueuedRun> waiting = new ArrayDeque<>();
        int[] running = new int[1];
        return new Discipline() {
            @Override
            public boolean offer(QueuedRun run, long now) {
                return waiting.size() < QueueLimits.DEFAULT_MAX_QUEUED && waiting.add(run);
            }

            @Override
            public Optional<QueuedRun> poll(long now) {
                if (waiting.isEmpty() || running[0] >= SLOTS) {
                    return Optional.empty();
                }
                running[0]++;
                return Optional.of(waiting.poll());
            }

            @Override
            public void finished(QueuedRun run, long now) {
                running[0]--;
            }
        };
    }

    /** The offered and served tokens and the latencies of each organisation. */
    static final class Result {
        final Map<String, Long> served = new HashMap<>();
        final Map<String, List<Long>> latencies = new HashMap<>();
        final Map<String, Long> offered = new HashMap<>();

        long p95(String organisation) {
            long[] sorted = latencies.get(organisation).stream()
                    .mapToLong(l -> l)
                    .sorted()
                    .toArray();
            return sorted[(int) (sorted.length * 0.95)];
        }

        @Override
        public String toString() {
            return "served " + served + ", offered " + offered + ", p95 latencies "
                    + Arrays.toString(
                            latencies.keySet().stream().mapToLong(this::p95).toArray());
        }
    }

    private record Event(long atMillis, QueuedRun run, boolean arrival) {}

    private QueueSimulation() {}

    /** Simulates organisations whose demand is given in multiples of an equal share of the slots. */
    static Result run(Discipline queue, double[] demand, QueuePolicy policy, long millis, long seed) {
        Random random = new Random(seed);
        double fairRunsPerMilli = SLOTS / (double) (MEAN_TOKENS * MILLIS_PER_TOKEN) / demand.length;
        PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        int number = 0;
        for (int i = 0; i < demand.length; i++) {
            for (double at = 0;
                    at < millis;
                    at += -Math.log(1 - random.nextDouble()) / (fairRunsPerMilli * demand[i])) {
                long tokens = MEAN_TOKENS / 2 + random.nextInt(MEAN_TOKENS + 1);
                long attained = (long) (random.nextDouble() * random.nextDouble() * 100_000);
                OrganisationId organisation = OrganisationId.of("org" + i);
                QueuedRun run = new QueuedRun(
                        RunId.of("r" + number++),
                        organisation,
                        1,
                        attained,
                        policy,
                        false,
                        tokens,
                        0,
                        (long) at,
                        Long.MAX_VALUE);
                events.add(new Event((long) at, run, true));
            }
        }
        return process(queue, events, millis);
    }

    private static Result process(Discipline queue, PriorityQueue<Event> events, long millis) {
        Result result = new Result();
        while (!events.isEmpty()) {
            Event event = events.poll();
            long now = event.atMillis();
            String organisation = event.run().organisation().value();
            if (event.arrival()) {
                result.offered.merge(organisation, event.run().tokens(), Long::sum);
                queue.offer(event.run(), now);
            } else {
                queue.finished(event.run(), now);
                if (now <= millis) {
                    result.served.merge(organisation, event.run().tokens(), Long::sum);
                }
                result.latencies
                        .computeIfAbsent(organisation, o -> new ArrayList<>())
                        .add(now - event.run().arrivedMillis());
            }
            for (Optional<QueuedRun> next = queue.poll(now); next.isPresent(); next = queue.poll(now)) {
                long end = now + next.get().tokens() * MILLIS_PER_TOKEN;
                events.add(new Event(end, next.get(), false));
            }
        }
        return result;
    }
}
