package org.cicadahead.daemon;

import java.util.function.Supplier;
import java.util.logging.Formatter;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;

/** The output formats of log records. */
public enum LogFormat {
    /** One line of text per record, followed by the stack trace if there is one. */
    TEXT(() -> new PatternFormatter("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %s%e%n")),
    /** One JSON object per record. */
    JSON(JsonFormatter::new);

    private final Supplier<Formatter> formatter;

    LogFormat(Supplier<Formatter> formatter) {
        this.formatter = formatter;
    }

    /**
     * Creates a formatter for this format.
     *
     * @return a new formatter
     */
    Formatter formatter() {
        return formatter.get();
    }
}
