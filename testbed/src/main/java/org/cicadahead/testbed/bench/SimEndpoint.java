package org.cicadahead.testbed.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadahead.cache.CacheTracker;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.queue.AdmissionLimit;
import org.cicadahead.queue.OfferResult;
import org.cicadahead.queue.QueueLimits;
import org.cicadahead.queue.QueuedRun;
import org.cicadahead.queue.RunQueue;

/** One engine with the run queue, the admission limit and the cache ledger of its endpoint, or with a FIFO queue. */
final class SimEndpoint {
    private static final long MAX_QUEUED_BYTES = 6L * 1024 * 1024;
    /** The default of the endpoint's settings. */
    private static final long MAX_RUNNING_TOKENS = 200_000;

    private static final long DEADLINE_MILLIS = 120_000;
    private static final long BYTES_PER_TOKEN = 4;

    private static final long TICK_MICROS = 250_000;
    private static final int REPORT_LAG_TICKS = 4;

    final EndpointId id;
    final FakeEngine engine;
    private final Clock clock;
    private final Variant variant;
    private final QueuePolicy policy;
    private final RunQueue queue;
    private final AdmissionLimit limit = AdmissionLimit.of(FakeEngine.CAPACITY);
    private final CacheTracker ledger = CacheTracker.of(CacheTracker.DEFAULT_IDLE_LIMIT_MILLIS);
    private final Map<RunId, Job> jobs = new LinkedHashMap<>();
    private final Deque<RunId> fifo = new ArrayDeque<>();
    private final List<Long> reports = new ArrayList<>();
    private final Map<ProgramKey, Long> lostToGone;
    private final Waste waste;
    private int running;
    private long runningTokens;
    private long reportedCache;
    private boolean dead;
    private long jobCount;

    /** Counts the recomputed tokens of a request before it runs. */
    interface Waste {
        void starts(SimEndpoint endpoint, Request request);
    }

    /** Gets the end of a run. */
    interface Outcome {
        void ended(Optional<RefusalReason> refusal);
    }

    private record Job(Request request, long tokens, Outcome outcome) {}

    SimEndpoint(int number, Clock clock, Variant variant, QueuePolicy policy, Waste waste) {
        this.id = EndpointId.of("engine-" + (number + 1));
        this.clock = clock;
        this.variant = variant;
        this.policy = policy;
        this.waste = waste;
        this.lostToGone = new HashMap<>();
        this.engine = new FakeEngine(
                clock, lostToGone, (streams, micros) -> limit.observe(streams, micros * Math.max(1, streams)));
        this.queue = RunQueue.of(new QueueLimits(
                QueueLimits.DEFAULT_MAX_QUEUED, MAX_QUEUED_BYTES, FakeEngine.CAPACITY, MAX_RUNNING_TOKENS));
        clock.every(TICK_MICROS, this::tick);
    }

    boolean isDead() {
        return dead;
    }

    EndpointLoad load() {
        return new EndpointLoad(
                queue.queued(),
                queue.running(),
                queue.queuedTokens(),
                queue.runningTokens(),
                reportedCache,
                FakeEngine.CAPACITY);
    }

    /** Returns how many tokens of a program an eviction for a program already gone has cost here, and forgets them. */
    long takeLostToGone(ProgramKey program) {
        Long lost = lostToGone.remove(program);
        return lost == null ? 0 : lost;
    }

    void accept(Request request, Outcome outcome) {
        if (dead) {
            outcome.ended(Optional.of(RefusalReason.ENDPOINT_FAILED));
            return;
        }
        RunId run = RunId.of("r" + jobCount++);
        long tokens = request.promptTokens() + Workload.MAX_OUTPUT_TOKENS;
        Job job = new Job(request, tokens, outcome);
        if (variant == Variant.CHOSEN) {
            long now = clock.millis();
            OfferResult offer = queue.offer(queued(run, job, now), now);
            offer.evicted().forEach(run2 -> refuse(run2.run(), RefusalReason.ENDPOINT_OVERLOADED));
            if (offer.refusal().isPresent()) {
                outcome.ended(offer.refusal());
                return;
            }
        } else {
            fifo.add(run);
        }
        jobs.put(run, job);
        pump();
    }

    void ended(Collection<ProgramKey> programs) {
        engine.gone(programs);
        ledger.ended(programs);
    }

    /** Takes the engine away; what it has is answered as failed. */
    void kill() {
        dead = true;
        engine.kill();
        List<Job> lost = List.copyOf(jobs.values());
        jobs.clear();
        fifo.clear();
        lost.forEach(job -> job.outcome.ended(Optional.of(RefusalReason.ENDPOINT_FAILED)));
    }

    private QueuedRun queued(RunId run, Job job, long now) {
        OrganisationId organisation = job.request.key().organisation();
        return new QueuedRun(
                run,
                organisation,
                Deployment.weight(job.request.organisation()),
                job.request.attainedTokens(),
                policy,
                false,
                job.tokens,
                job.request.promptTokens() * BYTES_PER_TOKEN,
                now,
                now + DEADLINE_MILLIS);
    }

    private void refuse(RunId run, RefusalReason reason) {
        Job job = jobs.remove(run);
        if (job != null) {
            job.outcome.ended(Optional.of(reason));
        }
    }

    private void pump() {
        if (dead) {
            return;
        }
        if (variant == Variant.NAIVE) {
            pumpFifo();
            return;
        }
        while (true) {
            queue.limitRunning(limit.limit(queue.running(), clock.millis()));
            Optional<QueuedRun> next = queue.poll(clock.millis());
            if (next.isEmpty()) {
                return;
            }
            start(next.get().run());
        }
    }

    private void pumpFifo() {
        while (!fifo.isEmpty() && running < FakeEngine.CAPACITY) {
            long tokens = jobs.get(fifo.peek()).tokens;
            if (running > 0 && runningTokens + tokens > MAX_RUNNING_TOKENS) {
                return;
            }
            start(fifo.poll());
        }
    }

    private void start(RunId run) {
        Job job = jobs.get(run);
        running++;
        runningTokens += job.tokens;
        waste.starts(this, job.request);
        if (variant == Variant.CHOSEN) {
            ledger.runStarted(job.request.key(), clock.millis());
        }
        engine.run(job.request, () -> finished(run, job));
    }

    private void finished(RunId run, Job job) {
        running--;
        runningTokens -= job.tokens;
        jobs.remove(run);
        long context = job.request.promptTokens() + job.request.turn().outputTokens();
        if (variant == Variant.CHOSEN) {
            queue.finished(run, context, clock.millis());
            ledger.runEnded(job.request.key(), context, clock.millis());
        }
        job.outcome.ended(Optional.empty());
        pump();
    }

    private void tick() {
        if (dead || variant == Variant.NAIVE) {
            return;
        }
        reports.add(engine.cachedTokens());
        if (reports.size() > REPORT_LAG_TICKS) {
            reportedCache = reports.remove(0);
        }
        long now = clock.millis();
        ledger.evictUnderPressure(reportedCache, FakeEngine.CACHE_TOKENS, now);
        for (ProgramKey program : ledger.pollDueReleases(now)) {
            engine.release(program);
            ledger.released(program);
        }
        queue.expire(now).forEach(run -> refuse(run.run(), RefusalReason.DEADLINE_UNREACHABLE));
        pump();
    }
}
