package org.cicadahead.node;

import java.util.concurrent.ThreadFactory;

/** Creates factories of named daemon threads, which do not keep the process alive. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /**
     * Returns a factory of daemon threads.
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
