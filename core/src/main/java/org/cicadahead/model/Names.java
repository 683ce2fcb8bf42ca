package org.cicadahead.model;

import java.util.regex.Pattern;

/** Checks the text of names and ids. */
final class Names {

    private Names() {}

    static void check(String value, Pattern pattern, String what) {
        if (value == null) {
            throw new IllegalArgumentException("The " + what + " must not be null");
        }
        if (!pattern.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "The " + what + " must match " + pattern.pattern() + ": " + shorten(value));
        }
    }

    /** Long or unprintable input is not repeated whole in messages. */
    private static String shorten(String value) {
        String printable = value.replaceAll("[^\\x20-\\x7e]", "?");
        return printable.length() <= 64 ? printable : printable.substring(0, 64) + "...";
    }
}
