package org.cicadahead.daemon;

import java.util.logging.Level;

/** The levels of log records, from the most to the least severe. */
public enum LogLevel {
    /** Failures that need an operator. */
    ERROR(org.jboss.logmanager.Level.ERROR),
    /** Failures that the system handles. */
    WARN(org.jboss.logmanager.Level.WARN),
    /** Changes of state. */
    INFO(org.jboss.logmanager.Level.INFO),
    /** Details of single requests. */
    DEBUG(org.jboss.logmanager.Level.DEBUG);

    private final Level level;

    LogLevel(Level level) {
        this.level = level;
    }

    /**
     * Returns the level of the log manager.
     *
     * @return the level
     */
    Level level() {
        return level;
    }
}
