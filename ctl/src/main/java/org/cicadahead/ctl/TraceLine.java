package org.cicadahead.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A parsed log line. Immutable.
 *
 * @param seconds the timestamp in seconds, on the clock of the log
 * @param source the name of the process or file that the line comes from
 * @param fields the JSON fields of the line
 */
record TraceLine(double seconds, String source, JsonNode fields) {
    private static final JsonMapper JSON = new JsonMapper();
    private static final Pattern PREFIXED_LINE = Pattern.compile("\\s*(-?[0-9.]+)\\s+(\\S+)\\s+(\\{.*)");
    private static final List<String> ID_FIELDS = List.of("request", "program", "session", "previous");
    private static final Set<String> WARNING_LEVELS = Set.of("WARN", "WARNING", "ERROR", "SEVERE", "FATAL");
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Parses a line; returns null if it is not a log line. */
    static TraceLine parse(String text, String source) {
        Matcher prefixed = PREFIXED_LINE.matcher(text);
        boolean hasPrefix = prefixed.matches();
        String json = hasPrefix ? prefixed.group(3) : text.trim();
        if (!json.startsWith("{")) {
            return null;
        }
        JsonNode fields;
        try {
            fields = JSON.readTree(json);
        } catch (JsonProcessingException e) {
            // A process that is killed while writing may leave a truncated line.
            return null;
        }
        return hasPrefix
                ? new TraceLine(Double.parseDouble(prefixed.group(1)), prefixed.group(2), fields)
                : new TraceLine(fields.path("at").asDouble() / MILLIS_PER_SECOND, source, fields);
    }

    /**
     * Returns the lines that refer to an id, and the warnings logged up to {@code aroundSeconds} before the first or
     * after the last of them, in time order.
     */
    static List<TraceLine> trace(List<TraceLine> lines, String id, double aroundSeconds) {
        List<TraceLine> matching =
                lines.stream().filter(line -> line.refersTo(id)).toList();
        if (matching.isEmpty()) {
            return List.of();
        }
        double earliestSeconds =
                matching.stream().mapToDouble(TraceLine::startSeconds).min().orElse(0) - aroundSeconds;
        double latestSeconds =
                matching.stream().mapToDouble(TraceLine::seconds).max().orElse(0) + aroundSeconds;
        List<TraceLine> trace = new ArrayList<>(matching);
        lines.stream()
                .filter(line -> line.isWarning() && line.seconds >= earliestSeconds && line.seconds <= latestSeconds)
                .forEach(trace::add);
        trace.sort(Comparator.comparingDouble(TraceLine::seconds));
        return trace;
    }

    /** Returns the line in human-readable form. */
    String text() {
        String time = String.format(Locale.ROOT, "%.4f", seconds);
        return time + " " + source + " " + (isWarning() ? fields.path("level").asText() + " " : "")
                + (fields.has("text") ? fields.get("text").asText() : fields.toString());
    }

    private boolean refersTo(String id) {
        return ID_FIELDS.stream().anyMatch(field -> fields.path(field).asText().equals(id));
    }

    private boolean isWarning() {
        return WARNING_LEVELS.contains(fields.path("level").asText());
    }

    private double startSeconds() {
        return seconds - fields.path("ms").asDouble() / MILLIS_PER_SECOND;
    }
}
