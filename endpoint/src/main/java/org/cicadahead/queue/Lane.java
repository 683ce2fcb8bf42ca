package org.cicadahead.queue;

import java.util.ArrayList;
import java.util.List;

/** The waiting runs of one organisation in order of arrival. */
final class Lane {
    final List<QueuedRun> waiting = new ArrayList<>();
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

    /** Returns when the next run is due; service that was not asked for is kept up to a credit in tokens. */
    double startTag(double virtualTime, double creditTokens) {
        return Math.max(finishTag, virtualTime - creditTokens / weight);
    }

    /** Returns how much the organisation holds of the queue, relative to its weight. */
    double share() {
        return waitingTokens / weight;
    }

    /** Returns the run with the least priority value; of equals, the one that arrived first. */
    QueuedRun best(long nowMillis) {
        QueuedRun best = null;
        for (QueuedRun run : waiting) {
            if (best == null || run.priority(nowMillis) < best.priority(nowMillis)) {
                best = run;
            }
        }
        return best;
    }

    boolean idle() {
        return waiting.isEmpty() && running == 0;
    }
}
