package org.cicadahead.daemon;

import java.util.logging.Handler;
import java.util.logging.Logger;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Sets up the log manager. The first use is {@link #install()}, before any class that logs is loaded. */
final class Logging {

    private Logging() {}

    /** Selects the log manager; it must be the first statement of the process. */
    static void install() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
    }

    /** Writes records to standard error in the format and from the level of the settings. */
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
