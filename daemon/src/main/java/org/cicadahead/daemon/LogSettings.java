package org.cicadahead.daemon;

/**
 * The section {@code [log]}. Immutable.
 *
 * @param format the line format; text by default
 * @param level the least severe level that is logged; info by default
 */
public record LogSettings(LogFormat format, LogLevel level) {

    /** Sets defaults for values that are absent. */
    public LogSettings {
        format = Fields.orDefault(format, LogFormat.TEXT);
        level = Fields.orDefault(level, LogLevel.INFO);
    }
}
