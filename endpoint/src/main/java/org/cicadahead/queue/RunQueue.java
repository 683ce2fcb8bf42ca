package org.cicadahead.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RunId;

/**
 * Decides which run is sent to the engine next. Not thread-safe.
 *
 * <p>Organisations share the engine by start-time fair queueing, weighted and measured in tokens. Within an
 * organisation, and between organisations whose start tags differ by less than the fairness slack of the policy, the
 * program with the least attained service goes first. The priority of a run improves while it waits, so that no run
 * starves. Each run passes through {@link #offer(QueuedRun, long)}, {@link #poll(long)} and
 * {@link #finished(RunId, long, long)}.
 */
public final class RunQueue {
    /** Weight of a new run in the moving average of the tokens per run. */
    private static final double NEW_RUN_WEIGHT = 0.05;
    /** Maximum credit for unused service, as a multiple of the mean tokens of {@code maxRunning} runs. */
    private static final double CREDIT_CAPACITY_FACTOR = 2;

    private final QueueLimits limits;
    private final Map<OrganisationId, OrganisationQueue> queues = new HashMap<>();
    private final Map<RunId, QueuedRun> waiting = new HashMap<>();
    private final Map<RunId, QueuedRun> running = new HashMap<>();
    private final ServiceRate rate = new ServiceRate();
    private double virtualTime;
    private double meanTokens;
    private long queuedTokens;
    private long queuedBytes;
    private long runningTokens;
    private int runningLimit;
    /** An exclusive run that was selected and waits until no other run is on the engine. */
    private QueuedRun pendingExclusive;

    private RunQueue(QueueLimits limits) {
        this.limits = limits;
        this.runningLimit = limits.maxRunning();
    }

    /**
     * Returns an empty queue.
     *
     * @param limits the limits of the queue
     * @return the queue
     */
    public static RunQueue of(QueueLimits limits) {
        return new RunQueue(limits);
    }

    /**
     * Queues a run, or refuses it because the queue is full or its deadline cannot be met.
     *
     * <p>If the queue is full, runs of the organisation with the most waiting tokens, relative to its weight, are
     * evicted in favour of an organisation with fewer, so that one organisation cannot block the queue for all others.
     *
     * @param run the run
     * @param nowMillis the current time
     * @return whether the run was queued, and which runs were evicted
     */
    public OfferResult offer(QueuedRun run, long nowMillis) {
        if (run.deadlineMillis() - nowMillis <= expectedWaitMillis(run)) {
            return OfferResult.refused(RefusalReason.DEADLINE_UNREACHABLE, List.of());
        }
        List<QueuedRun> evicted = new ArrayList<>();
        while (waiting.size() >= limits.maxQueued() || queuedBytes + run.bytes() > limits.maxQueuedBytes()) {
            Optional<QueuedRun> evictionCandidate = evictionCandidate(run);
            if (evictionCandidate.isEmpty()) {
                return OfferResult.refused(RefusalReason.ENDPOINT_OVERLOADED, evicted);
            }
            remove(evictionCandidate.get());
            evicted.add(evictionCandidate.get());
        }
        OrganisationQueue queue = queues.computeIfAbsent(run.organisation(), key -> new OrganisationQueue());
        queue.add(run);
        waiting.put(run.run(), run);
        queuedTokens += run.tokens();
        queuedBytes += run.bytes();
        meanTokens = meanTokens == 0 ? run.tokens() : meanTokens * (1 - NEW_RUN_WEIGHT) + run.tokens() * NEW_RUN_WEIGHT;
        return OfferResult.queued(evicted);
    }

    /**
     * Takes the next run if the limits allow one more on the engine.
     *
     * @param nowMillis the current time
     * @return the run, which now counts as running, or empty
     */
    public Optional<QueuedRun> poll(long nowMillis) {
        if (waiting.isEmpty() || running.values().stream().anyMatch(QueuedRun::exclusive)) {
            return Optional.empty();
        }
        QueuedRun next = pendingExclusive != null ? pendingExclusive : select(nowMillis);
        if (next.exclusive() && !running.isEmpty()) {
            pendingExclusive = next;
            return Optional.empty();
        }
        boolean tokensFit = running.isEmpty() || runningTokens + next.tokens() <= limits.maxRunningTokens();
        if (running.size() >= runningLimit || !tokensFit) {
            return Optional.empty();
        }
        start(next);
        return Optional.of(next);
    }

    /**
     * Removes a running run and replaces its estimated tokens by its used tokens in the finish tag of its organisation.
     *
     * @param run the run
     * @param usedTokens the number of tokens that the run used
     * @param nowMillis the current time
     */
    public void finished(RunId run, long usedTokens, long nowMillis) {
        QueuedRun ended = running.remove(run);
        if (ended == null) {
            return;
        }
        runningTokens -= ended.tokens();
        OrganisationQueue queue = queues.get(ended.organisation());
        queue.running--;
        queue.finishTag += (usedTokens - ended.tokens()) / ended.weight();
        rate.finished(usedTokens, !waiting.isEmpty(), nowMillis);
        removeIdleQueues();
    }

    /**
     * Removes a waiting run.
     *
     * @param run the run
     * @return true if it was waiting, which means that it will not run
     */
    public boolean cancel(RunId run) {
        QueuedRun found = waiting.get(run);
        if (found == null) {
            return false;
        }
        remove(found);
        removeIdleQueues();
        return true;
    }

    /**
     * Removes the waiting runs whose deadline has passed.
     *
     * @param nowMillis the current time
     * @return the removed runs
     */
    public List<QueuedRun> expire(long nowMillis) {
        List<QueuedRun> expired = waiting.values().stream()
                .filter(run -> run.deadlineMillis() <= nowMillis)
                .toList();
        expired.forEach(this::remove);
        removeIdleQueues();
        return expired;
    }

    /**
     * Sets the maximum number of runs on the engine at once, capped at the limit of the queue.
     *
     * @param limit the maximum number of runs; values below 1 count as 1
     */
    public void limitRunning(int limit) {
        runningLimit = Math.max(1, Math.min(limit, limits.maxRunning()));
    }

    /**
     * Returns the number of waiting runs.
     *
     * @return the number
     */
    public int queued() {
        return waiting.size();
    }

    /**
     * Returns the number of runs on the engine.
     *
     * @return the number
     */
    public int running() {
        return running.size();
    }

    /**
     * Returns the estimated number of tokens of the waiting runs.
     *
     * @return the sum
     */
    public long queuedTokens() {
        return queuedTokens;
    }

    /**
     * Returns the estimated number of tokens of the running runs.
     *
     * @return the sum
     */
    public long runningTokens() {
        return runningTokens;
    }

    private QueuedRun select(long nowMillis) {
        double minTag = Double.POSITIVE_INFINITY;
        for (OrganisationQueue queue : queues.values()) {
            if (!queue.waiting.isEmpty()) {
                minTag = Math.min(minTag, startTag(queue));
            }
        }
        QueuedRun best = null;
        double bestTag = 0;
        for (OrganisationQueue queue : queues.values()) {
            if (queue.waiting.isEmpty()) {
                continue;
            }
            QueuedRun candidate = queue.next(nowMillis);
            double tag = startTag(queue);
            double allowedLead = (candidate.policy().fairnessSlack() - 1) * meanTokens / candidate.weight();
            if (tag <= minTag + allowedLead && (best == null || isBefore(candidate, tag, best, bestTag, nowMillis))) {
                best = candidate;
                bestTag = tag;
            }
        }
        return best;
    }

    /**
     * Returns the start tag, which includes a credit for unused service so that an organisation that used less than its
     * share can catch up. Without the credit, an organisation that is always busy takes all capacity that the others
     * leave unused, and bursts of the others wait longer than they would if that organisation were absent.
     */
    private double startTag(OrganisationQueue queue) {
        return queue.startTag(virtualTime, creditTokens());
    }

    private double creditTokens() {
        return CREDIT_CAPACITY_FACTOR * meanTokens * limits.maxRunning();
    }

    /**
     * Returns whether a run goes before another. If the policy of either run allows no fairness slack, the start tag
     * decides and the priority breaks ties, otherwise the reverse.
     */
    private static boolean isBefore(QueuedRun run, double tag, QueuedRun other, double otherTag, long nowMillis) {
        int byPriority = Double.compare(run.priority(nowMillis), other.priority(nowMillis));
        if (run.policy().fairnessSlack() <= 1 || other.policy().fairnessSlack() <= 1) {
            int byTag = Double.compare(tag, otherTag);
            return byTag != 0 ? byTag < 0 : byPriority < 0;
        }
        return byPriority != 0 ? byPriority < 0 : tag < otherTag;
    }

    private void start(QueuedRun run) {
        OrganisationQueue queue = queues.get(run.organisation());
        double minTag = Double.POSITIVE_INFINITY;
        for (OrganisationQueue other : queues.values()) {
            if (!other.waiting.isEmpty()) {
                minTag = Math.min(minTag, startTag(other));
            }
        }
        double tag = startTag(queue);
        virtualTime = Math.max(virtualTime, minTag);
        remove(run);
        queue.finishTag = tag + run.tokens() / run.weight();
        queue.running++;
        running.put(run.run(), run);
        runningTokens += run.tokens();
    }

    /**
     * Returns the newest waiting run of the organisation with the largest share of the queue, or empty if that share is
     * not larger than the share of the organisation of the new run, including that run.
     */
    private Optional<QueuedRun> evictionCandidate(QueuedRun run) {
        OrganisationQueue own = queues.get(run.organisation());
        double ownShare = ((own == null ? 0 : own.waitingTokens) + run.tokens()) / run.weight();
        OrganisationQueue largest = null;
        for (OrganisationQueue queue : queues.values()) {
            if (queue != own
                    && !queue.waiting.isEmpty()
                    && (largest == null || queue.relativeShare() > largest.relativeShare())) {
                largest = queue;
            }
        }
        if (largest == null || largest.relativeShare() <= ownShare) {
            return Optional.empty();
        }
        return Optional.of(largest.waiting.get(largest.waiting.size() - 1));
    }

    /**
     * Returns an estimated lower bound of the waiting time. An estimate that is too high would refuse runs that could
     * still meet their deadline.
     */
    private double expectedWaitMillis(QueuedRun run) {
        OrganisationQueue own = queues.get(run.organisation());
        double totalWeight = run.weight();
        for (OrganisationQueue queue : queues.values()) {
            if (queue != own && !queue.waiting.isEmpty()) {
                totalWeight += queue.weight;
            }
        }
        double tokensAhead = own == null ? 0 : own.waitingTokens * totalWeight / run.weight();
        return rate.millisFor(Math.min(tokensAhead, queuedTokens));
    }

    private void remove(QueuedRun run) {
        waiting.remove(run.run());
        queues.get(run.organisation()).remove(run);
        queuedTokens -= run.tokens();
        queuedBytes -= run.bytes();
        if (run.equals(pendingExclusive)) {
            pendingExclusive = null;
        }
    }

    /**
     * Removes idle organisations whose finish tag is too old to affect their start tag. When the whole endpoint is
     * idle, all state is reset, so that no organisation is charged for idle time.
     */
    private void removeIdleQueues() {
        if (waiting.isEmpty() && running.isEmpty()) {
            queues.clear();
            virtualTime = 0;
        } else {
            queues.values()
                    .removeIf(
                            queue -> queue.isIdle() && queue.finishTag <= virtualTime - creditTokens() / queue.weight);
        }
    }
}
