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
 * Decides which run goes to the engine next. Not safe for use by several threads.
 *
 * <p>Organisations share the engine by weighted fair queueing in tokens with start tags. Within an organisation, and
 * between organisations that are within the slack of their policy, the program with the least attained service goes
 * first, with ageing. The first use is {@link #offer(QueuedRun, long)}, then {@link #poll(long)}, then
 * {@link #finished(RunId, long, long)}.
 */
public final class RunQueue {
    private static final double MEAN_WEIGHT = 0.05;
    /** Unused service that an organisation keeps, in fillings of the engine. */
    private static final double CREDIT_FILLINGS = 2;

    private final QueueLimits limits;
    private final Map<OrganisationId, Lane> lanes = new HashMap<>();
    private final Map<RunId, QueuedRun> waiting = new HashMap<>();
    private final Map<RunId, QueuedRun> running = new HashMap<>();
    private final ServiceRate rate = new ServiceRate();
    private double virtualTime;
    private double meanTokens;
    private long queuedTokens;
    private long queuedBytes;
    private long runningTokens;
    private int runningLimit;
    /** A solitary run that was chosen and waits until nothing else runs. */
    private QueuedRun reserved;

    private RunQueue(QueueLimits limits) {
        this.limits = limits;
        this.runningLimit = limits.maxRunning();
    }

    /**
     * Returns an empty queue.
     *
     * @param limits its bounds
     * @return the queue
     */
    public static RunQueue of(QueueLimits limits) {
        return new RunQueue(limits);
    }

    /**
     * Queues a run, or refuses it because the queue is full or its deadline cannot be met.
     *
     * <p>A full queue makes room for an organisation that holds less than the one that holds most, so that one
     * organisation cannot fill the queue for all.
     *
     * @param run the run
     * @param nowMillis the current time
     * @return what became of it
     */
    public OfferResult offer(QueuedRun run, long nowMillis) {
        if (run.deadlineMillis() - nowMillis <= expectedWaitMillis(run)) {
            return OfferResult.refused(RefusalReason.DEADLINE_UNREACHABLE, List.of());
        }
        List<QueuedRun> evicted = new ArrayList<>();
        while (waiting.size() >= limits.maxQueued() || queuedBytes + run.bytes() > limits.maxQueuedBytes()) {
            Optional<QueuedRun> victim = victim(run);
            if (victim.isEmpty()) {
                return OfferResult.refused(RefusalReason.ENDPOINT_OVERLOADED, evicted);
            }
            remove(victim.get());
            evicted.add(victim.get());
        }
        Lane lane = lanes.computeIfAbsent(run.organisation(), o -> new Lane());
        lane.add(run);
        waiting.put(run.run(), run);
        queuedTokens += run.tokens();
        queuedBytes += run.bytes();
        meanTokens = meanTokens == 0 ? run.tokens() : meanTokens * (1 - MEAN_WEIGHT) + run.tokens() * MEAN_WEIGHT;
        return OfferResult.queued(evicted);
    }

    /**
     * Takes the next run if the engine may have one more.
     *
     * @param nowMillis the current time
     * @return the run, which now counts as running, or empty
     */
    public Optional<QueuedRun> poll(long nowMillis) {
        if (waiting.isEmpty() || running.values().stream().anyMatch(QueuedRun::alone)) {
            return Optional.empty();
        }
        QueuedRun next = reserved != null ? reserved : select(nowMillis);
        if (next.alone() && !running.isEmpty()) {
            reserved = next;
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
     * Ends a running run and corrects its organisation's account to what the run really used.
     *
     * @param run the run
     * @param usedTokens the tokens that it used
     * @param nowMillis the current time
     */
    public void finished(RunId run, long usedTokens, long nowMillis) {
        QueuedRun ended = running.remove(run);
        if (ended == null) {
            return;
        }
        runningTokens -= ended.tokens();
        Lane lane = lanes.get(ended.organisation());
        lane.running--;
        lane.finishTag += (usedTokens - ended.tokens()) / ended.weight();
        rate.finished(usedTokens, !waiting.isEmpty(), nowMillis);
        forgetIdle();
    }

    /**
     * Removes a waiting run.
     *
     * @param run the run
     * @return true if it was waiting, so that it certainly does not run
     */
    public boolean cancel(RunId run) {
        QueuedRun found = waiting.get(run);
        if (found == null) {
            return false;
        }
        remove(found);
        forgetIdle();
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
        forgetIdle();
        return expired;
    }

    /**
     * Sets how many runs may be with the engine at once, within the limit of the queue.
     *
     * @param limit the number, at least 1
     */
    public void limitRunning(int limit) {
        runningLimit = Math.max(1, Math.min(limit, limits.maxRunning()));
    }

    /**
     * Returns how many runs wait.
     *
     * @return the number
     */
    public int queued() {
        return waiting.size();
    }

    /**
     * Returns how many runs are with the engine.
     *
     * @return the number
     */
    public int running() {
        return running.size();
    }

    /**
     * Returns the estimated tokens of the waiting runs.
     *
     * @return the tokens
     */
    public long queuedTokens() {
        return queuedTokens;
    }

    /**
     * Returns the estimated tokens of the running runs.
     *
     * @return the tokens
     */
    public long runningTokens() {
        return runningTokens;
    }

    private QueuedRun select(long nowMillis) {
        double least = Double.POSITIVE_INFINITY;
        for (Lane lane : lanes.values()) {
            if (!lane.waiting.isEmpty()) {
                least = Math.min(least, startTag(lane));
            }
        }
        QueuedRun best = null;
        double bestTag = 0;
        for (Lane lane : lanes.values()) {
            if (lane.waiting.isEmpty()) {
                continue;
            }
            QueuedRun candidate = lane.best(nowMillis);
            double tag = startTag(lane);
            double ahead = (candidate.policy().fairnessSlack() - 1) * meanTokens / candidate.weight();
            if (tag <= least + ahead && (best == null || isBefore(candidate, tag, best, bestTag, nowMillis))) {
                best = candidate;
                bestTag = tag;
            }
        }
        return best;
    }

    /**
     * An organisation that used less than its share may catch up. Without this credit, one
     * that is always busy gets all that the others leave, and their bursts wait longer than without it.
     */
    private double startTag(Lane lane) {
        return lane.startTag(virtualTime, creditTokens());
    }

    private double creditTokens() {
        return CREDIT_FILLINGS * meanTokens * limits.maxRunning();
    }

    private static boolean isBefore(QueuedRun run, double tag, QueuedRun other, double otherTag, long nowMillis) {
        int byPriority = Double.compare(run.priority(nowMillis), other.priority(nowMillis));
        if (run.policy().fairnessSlack() <= 1 || other.policy().fairnessSlack() <= 1) {
            int byTag = Double.compare(tag, otherTag);
            return byTag != 0 ? byTag < 0 : byPriority < 0;
        }
        return byPriority != 0 ? byPriority < 0 : tag < otherTag;
    }

    private void start(QueuedRun run) {
        Lane lane = lanes.get(run.organisation());
        double least = Double.POSITIVE_INFINITY;
        for (Lane other : lanes.values()) {
            if (!other.waiting.isEmpty()) {
                least = Math.min(least, startTag(other));
            }
        }
        double tag = startTag(lane);
        virtualTime = Math.max(virtualTime, least);
        remove(run);
        lane.finishTag = tag + run.tokens() / run.weight();
        lane.running++;
        running.put(run.run(), run);
        runningTokens += run.tokens();
    }

    /** Returns the newest run of the organisation that holds most, if it would still hold more than the newcomer's. */
    private Optional<QueuedRun> victim(QueuedRun run) {
        Lane own = lanes.get(run.organisation());
        double ownShare = ((own == null ? 0 : own.waitingTokens) + run.tokens()) / run.weight();
        Lane most = null;
        for (Lane lane : lanes.values()) {
            if (lane != own && !lane.waiting.isEmpty() && (most == null || lane.share() > most.share())) {
                most = lane;
            }
        }
        if (most == null || most.share() <= ownShare) {
            return Optional.empty();
        }
        return Optional.of(most.waiting.get(most.waiting.size() - 1));
    }

    /** Returns a lower estimate of the wait, so that only hopeless runs are refused. */
    private double expectedWaitMillis(QueuedRun run) {
        Lane own = lanes.get(run.organisation());
        double weights = run.weight();
        for (Lane lane : lanes.values()) {
            if (lane != own && !lane.waiting.isEmpty()) {
                weights += lane.weight;
            }
        }
        double ahead = own == null ? 0 : own.waitingTokens * weights / run.weight();
        return rate.millisFor(Math.min(ahead, queuedTokens));
    }

    private void remove(QueuedRun run) {
        waiting.remove(run.run());
        lanes.get(run.organisation()).remove(run);
        queuedTokens -= run.tokens();
        queuedBytes -= run.bytes();
        if (run.equals(reserved)) {
            reserved = null;
        }
    }

    /** Forgets organisations that owe nothing; an idle endpoint starts afresh, so that no one pays for idle time. */
    private void forgetIdle() {
        if (waiting.isEmpty() && running.isEmpty()) {
            lanes.clear();
            virtualTime = 0;
        } else {
            lanes.values()
                    .removeIf(lane -> lane.idle() && lane.finishTag <= virtualTime - creditTokens() / lane.weight);
        }
    }
}
