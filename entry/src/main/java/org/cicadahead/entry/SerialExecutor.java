package org.cicadahead.entry;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import org.jboss.logging.Logger;

/** Runs tasks one at a time and in order on shared worker threads. Its lock is not held while a task runs. */
final class SerialExecutor implements Executor {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");

    private final Executor workers;
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private boolean active;

    SerialExecutor(Executor workers) {
        this.workers = workers;
    }

    @Override
    public void execute(Runnable task) {
        synchronized (tasks) {
            tasks.add(task);
            if (active) {
                return;
            }
            active = true;
        }
        workers.execute(this::runQueuedTasks);
    }

    private void runQueuedTasks() {
        while (true) {
            Runnable task;
            synchronized (tasks) {
                task = tasks.poll();
                if (task == null) {
                    active = false;
                    return;
                }
            }
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.errorf(e, "entry: A task failed");
            }
        }
    }
}
