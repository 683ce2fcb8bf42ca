package org.cicadahead.model;

import java.util.regex.Pattern;

/** Checks names and ids against their patterns. */
final class Names {

    private Names() {}

    static void check(String value, Pattern pattern, String valueName) {
        if (value == null) {
            throw new IllegalArgumentException("The " + valueName + " must not be null");
        }
        if (!pattern.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "The " + valueName + " must match " + pattern.pattern() + ": " + sanitize(value));
        }
    }

    /** Replaces unprintable characters and truncates long input, so that it is safe to put into a message. */
    private static String sanitize(String value) {
        String printable = value.replaceAll("[^\\x20-\\x7e]", "?");
        return printable.length() <= 64 ? printable : printable.substring(0, 64) + "...";
    }
}
