package org.cicadahead.wire;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.cicadahead.node.DaemonThreads;

/** The timer thread of the transport. Its tasks must be short and must not block. */
final class Timers {
    private static final ScheduledThreadPoolExecutor SHARED = create();

    private Timers() {}

    static ScheduledThreadPoolExecutor shared() {
        return SHARED;
    }

    private static ScheduledThreadPoolExecutor create() {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, DaemonThreads.named("wire-timer"));
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }
}
