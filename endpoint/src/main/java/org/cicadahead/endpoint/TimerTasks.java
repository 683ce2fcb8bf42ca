package org.cicadahead.endpoint;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Schedules tasks on the timer of the node. A task that throws is logged. */
final class TimerTasks {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");

    private TimerTasks() {}

    /** Runs a task once after a delay. The task is dropped if the node is closed. */
    static void schedule(ScheduledExecutorService timer, Runnable task, long delayMillis) {
        try {
            timer.schedule(logFailures(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debugf("endpoint: The node is closed; dropping a scheduled task");
        }
    }

    /** Runs a task periodically, also after it has failed. */
    static void repeat(ScheduledExecutorService timer, Runnable task, long intervalMillis) {
        timer.scheduleWithFixedDelay(logFailures(task), 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private static Runnable logFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.errorf(e, "endpoint: A scheduled task failed");
            }
        };
    }
}
