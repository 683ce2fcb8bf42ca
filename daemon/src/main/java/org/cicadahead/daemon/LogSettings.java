package org.cicadahead.daemon;

/**
 * Settings of the section {@code [log]}. Immutable.
 *
 * @param format the output format of log records; text by default
 * @param level the least severe level that is logged; info by default
 */
public record LogSettings(LogFormat format, LogLevel level) {

    /** Sets defaults for absent values. */
    public LogSettings {
        format = Fields.orDefault(format, LogFormat.TEXT);
        level = Fields.orDefault(level, LogLevel.INFO);
    }
}
