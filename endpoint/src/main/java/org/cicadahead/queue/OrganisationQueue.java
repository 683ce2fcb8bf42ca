package org.cicadahead.queue;

import java.util.ArrayList;
import java.util.List;

/** The waiting runs of one organisation in order of arrival, and its state for weighted fair queueing. */
final class OrganisationQueue {
    final List<QueuedRun> waiting = new ArrayList<>();
    /** Finish tag, in virtual time, of the run that was started last. */
    double finishTag;

    double weight = 1;
    long waitingTokens;
    int running;

    void add(QueuedRun run) {
        weight = run.weight();
        waiting.add(run);
        waitingTokens += run.tokens();
    }

    void remove(QueuedRun run) {
        if (waiting.remove(run)) {
            waitingTokens -= run.tokens();
        }
    }

    /**
     * Returns the start tag, in virtual time, of the next run. An organisation that used less than its share gets a
     * credit of up to {@code maxCreditTokens}.
     */
    double startTag(double virtualTime, double maxCreditTokens) {
        return Math.max(finishTag, virtualTime - maxCreditTokens / weight);
    }

    /** Returns the number of waiting tokens of the organisation, relative to its weight. */
    double relativeShare() {
        return waitingTokens / weight;
    }

    /** Returns the run with the lowest priority value, or the first of them to arrive if there are several. */
    QueuedRun next(long nowMillis) {
        QueuedRun best = null;
        for (QueuedRun run : waiting) {
            if (best == null || run.priority(nowMillis) < best.priority(nowMillis)) {
                best = run;
            }
        }
        return best;
    }

    boolean isIdle() {
        return waiting.isEmpty() && running == 0;
    }
}
