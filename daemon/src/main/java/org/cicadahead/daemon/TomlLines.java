package org.cicadahead.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line number of a field in a TOML document. The TOML parser does not report the positions of values, so
 * this class scans the lines for section headers and keys.
 */
final class TomlLines {
    private static final Pattern HEADER = Pattern.compile("\\s*\\[+([^\\]]+)\\]+.*");
    private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_.\"-]+)\\s*=.*");

    private final List<List<String>> paths = new ArrayList<>();

    TomlLines(String text) {
        List<String> section = List.of();
        for (String line : text.split("\n", -1)) {
            Matcher header = HEADER.matcher(line);
            Matcher key = KEY.matcher(line);
            List<String> path = List.of();
            if (header.matches()) {
                section = splitPath(header.group(1));
                path = section;
            } else if (key.matches()) {
                path = new ArrayList<>(section);
                path.addAll(splitPath(key.group(1)));
            }
            paths.add(path);
        }
    }

    /** Returns the 1-based line number of the field, or of the closest enclosing section if the field is absent. */
    int lineOf(List<String> path) {
        for (int length = path.size(); length > 0; length--) {
            int index = paths.indexOf(path.subList(0, length));
            if (index >= 0) {
                return index + 1;
            }
        }
        return 1;
    }

    private static List<String> splitPath(String dotted) {
        List<String> parts = new ArrayList<>();
        for (String part : dotted.split("\\.")) {
            parts.add(part.strip().replace("\"", ""));
        }
        return parts;
    }
}
