package org.cicadahead.daemon;

import java.util.logging.Handler;
import java.util.logging.Logger;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures logging. {@link #install()} must be called before any class that logs is loaded. */
final class Logging {

    private Logging() {}

    /** Selects JBoss Log Manager; must be the first call in {@code main}. */
    static void install() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
    }

    /** Writes log records to standard error in the configured format, at the configured level or above. */
    static void configure(LogSettings settings) {
        Logger root = LogContext.getLogContext().getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler handler = new ConsoleHandler(
                ConsoleHandler.Target.SYSTEM_ERR, settings.format().formatter());
        handler.setLevel(settings.level().level());
        root.addHandler(handler);
        root.setLevel(LogLevel.WARN.level());
        LogContext.getLogContext()
                .getLogger("cicadahead")
                .setLevel(settings.level().level());
    }
}
