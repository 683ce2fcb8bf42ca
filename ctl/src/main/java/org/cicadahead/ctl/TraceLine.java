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
 * A line of a log. Immutable.
 *
 * @param seconds when it was written, in seconds of the log's own time
 * @param source the process that wrote it
 * @param fields what it says
 */
record TraceLine(double seconds, String source, JsonNode fields) {
    private static final JsonMapper JSON = new JsonMapper();
    private static final Pattern PREFIXED = Pattern.compile("\\s*(-?[0-9.]+)\\s+(\\S+)\\s+(\\{.*)");
    private static final List<String> IDS = List.of("request", "program", "session", "previous");
    private static final Set<String> WARNINGS = Set.of("WARN", "WARNING", "ERROR", "SEVERE", "FATAL");
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Parses a line; returns null if it is none of a log. */
    static TraceLine parse(String text, String source) {
        Matcher prefixed = PREFIXED.matcher(text);
        boolean hasPrefix = prefixed.matches();
        String json = hasPrefix ? prefixed.group(3) : text.trim();
        if (!json.startsWith("{")) {
            return null;
        }
        JsonNode fields;
        try {
            fields = JSON.readTree(json);
        } catch (JsonProcessingException e) {
            // A process that was killed may leave half a line.
            return null;
        }
        return hasPrefix
                ? new TraceLine(Double.parseDouble(prefixed.group(1)), prefixed.group(2), fields)
                : new TraceLine(fields.path("at").asDouble() / MILLIS_PER_SECOND, source, fields);
    }

    /** Returns the lines that name an id, and the warnings around them, in the order of time. */
    static List<TraceLine> story(List<TraceLine> lines, String id, double aroundSeconds) {
        List<TraceLine> named = lines.stream().filter(line -> line.names(id)).toList();
        if (named.isEmpty()) {
            return List.of();
        }
        double first = named.stream().mapToDouble(TraceLine::began).min().orElse(0) - aroundSeconds;
        double last = named.stream().mapToDouble(TraceLine::seconds).max().orElse(0) + aroundSeconds;
        List<TraceLine> story = new ArrayList<>(named);
        lines.stream()
                .filter(line -> line.isWarning() && line.seconds >= first && line.seconds <= last)
                .forEach(story::add);
        story.sort(Comparator.comparingDouble(TraceLine::seconds));
        return story;
    }

    /** Returns the line for people. */
    String text() {
        String time = String.format(Locale.ROOT, "%.4f", seconds);
        return time + " " + source + " " + (isWarning() ? fields.path("level").asText() + " " : "")
                + (fields.has("text") ? fields.get("text").asText() : fields.toString());
    }

    private boolean names(String id) {
        return IDS.stream().anyMatch(field -> fields.path(field).asText().equals(id));
    }

    private boolean isWarning() {
        return WARNINGS.contains(fields.path("level").asText());
    }

    private double began() {
        return seconds - fields.path("ms").asDouble() / MILLIS_PER_SECOND;
    }
}
