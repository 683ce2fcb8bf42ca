package org.cicadahead.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadahead.testbed.fleet.FleetException;

/**
 * The violations of a known fault, as {@code KNOWN-RED.txt} lists them by a part of their text in quotes. Immutable.
 *
 * @param texts the parts of texts
 */
record SoakKnown(List<String> texts) {
    private static final Pattern VIOLATION = Pattern.compile("\\bsoak VIOLATION \"([^\"]+)\"");

    /** Reads the file; an absent one lists nothing. */
    static SoakKnown read(Path file) throws FleetException {
        try {
            return of(Files.exists(file) ? Files.readAllLines(file) : List.of());
        } catch (IOException e) {
            throw new FleetException("cannot read " + file.getFileName(), e);
        }
    }

    /** Takes the quoted texts from the lines; a line that starts with # is a comment. */
    static SoakKnown of(List<String> lines) {
        List<String> texts = new ArrayList<>();
        for (String line : lines) {
            Matcher violation = VIOLATION.matcher(line);
            if (!line.startsWith("#") && violation.find()) {
                texts.add(violation.group(1));
            }
        }
        return new SoakKnown(List.copyOf(texts));
    }

    boolean lists(String violation) {
        return texts.stream().anyMatch(violation::contains);
    }
}
