package org.cicadahead.daemon;

import java.util.function.Supplier;
import java.util.logging.Formatter;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;

/** The formats of log lines. */
public enum LogFormat {
    /** One line of text a record, with stack traces below. */
    TEXT(() -> new PatternFormatter("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %s%e%n")),
    /** One JSON object a record. */
    JSON(JsonFormatter::new);

    private final Supplier<Formatter> formatter;

    LogFormat(Supplier<Formatter> formatter) {
        this.formatter = formatter;
    }

    /**
     * Returns a new formatter.
     *
     * @return the formatter
     */
    Formatter formatter() {
        return formatter.get();
    }
}
