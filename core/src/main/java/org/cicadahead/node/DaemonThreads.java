package org.cicadahead.node;

import java.util.concurrent.ThreadFactory;

/** Makes named threads that do not keep a process alive. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /**
     * Returns a factory.
     *
     * @param name the name of its threads
     * @return the factory
     */
    public static ThreadFactory named(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
