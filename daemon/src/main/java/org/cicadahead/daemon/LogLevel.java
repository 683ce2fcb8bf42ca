package org.cicadahead.daemon;

import java.util.logging.Level;

/** The levels of log records, from the most to the least severe. */
public enum LogLevel {
    /** Failures that require action by an operator. */
    ERROR(org.jboss.logmanager.Level.ERROR),
    /** Failures that the system handles by itself. */
    WARN(org.jboss.logmanager.Level.WARN),
    /** State changes. */
    INFO(org.jboss.logmanager.Level.INFO),
    /** Details of individual requests. */
    DEBUG(org.jboss.logmanager.Level.DEBUG);

    private final Level level;

    LogLevel(Level level) {
        this.level = level;
    }

    /**
     * Returns the corresponding level of JBoss Log Manager.
     *
     * @return the level
     */
    Level level() {
        return level;
    }
}
