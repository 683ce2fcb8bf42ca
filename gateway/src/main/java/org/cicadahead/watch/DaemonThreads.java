package org.cicadahead.watch;

import java.util.concurrent.ThreadFactory;

/** Makes named threads that do not keep a process alive. */
public final class DaemonThreads {
    private static final long STACK_BYTES = 256 * 1024;

    private DaemonThreads() {}

    /**
     * Returns a factory.
     *
     * @param name the name of its threads
     * @return the factory
     */
    public static ThreadFactory named(String name) {
        return task -> {
            Thread thread = new Thread(null, task, name, STACK_BYTES);
            thread.setDaemon(true);
            return thread;
        };
    }
}
