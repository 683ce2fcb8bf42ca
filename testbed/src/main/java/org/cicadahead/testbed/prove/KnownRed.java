package org.cicadahead.testbed.prove;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadahead.testbed.fleet.FleetException;

/** The cases that fail because of a known fault, as {@code KNOWN-RED.txt} lists them by their command. Immutable. */
record KnownRed(Set<String> names) {
    private static final Pattern ONLY = Pattern.compile("\\bprove\\b.*--only[ =]([a-z0-9,-]+)");

    /** Reads the file; an absent one lists nothing. */
    static KnownRed read(Path file) throws FleetException {
        try {
            return of(Files.exists(file) ? Files.readAllLines(file) : List.of());
        } catch (IOException e) {
            throw new FleetException("cannot read " + file.getFileName(), e);
        }
    }

    /** Takes the names from the commands in the lines; a line that starts with # is a comment. */
    static KnownRed of(List<String> lines) {
        Set<String> names = new HashSet<>();
        for (String line : lines) {
            Matcher command = ONLY.matcher(line);
            if (!line.startsWith("#") && command.find()) {
                names.addAll(List.of(command.group(1).split(",")));
            }
        }
        return new KnownRed(Set.copyOf(names));
    }

    boolean lists(FaultCase one) {
        return names.contains(one.name());
    }
}
