package org.cicadahead.endpoint;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Runs actions on the timer of the node. */
final class TimerTasks {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");

    private TimerTasks() {}

    /** Runs an action later; after the node is closed it is dropped. */
    static void schedule(ScheduledExecutorService timer, Runnable action, long delayMillis) {
        try {
            timer.schedule(guarded(action), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debugf("endpoint: The node is closed, and a delayed action is dropped");
        }
    }

    /** Runs an action again and again, also after it has failed. */
    static void repeat(ScheduledExecutorService timer, Runnable action, long intervalMillis) {
        timer.scheduleWithFixedDelay(guarded(action), 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private static Runnable guarded(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                LOG.errorf(e, "endpoint: A periodic action failed");
            }
        };
    }
}
