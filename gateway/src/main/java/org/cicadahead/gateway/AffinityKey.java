package org.cicadahead.gateway;

import java.util.List;
import java.util.Objects;

/**
 * The key of the object that a request concerns, as its caller states it. Immutable.
 *
 * <p>On routes that are sticky, requests with the same key are sent to the endpoint that has handled the object
 * recently. The key only influences the choice of the endpoint, so an invalid one is ignored. Parse one with
 * {@link #parse(List)}.
 *
 * @param text the key; empty if the caller states none
 */
public record AffinityKey(String text) {
    /** The key of a request that states none. */
    public static final AffinityKey NONE = new AffinityKey("");

    /** The maximum length of a key, in characters. */
    static final int MAX_LENGTH = 256;

    private static final char FIRST_PRINTABLE = ' ';
    private static final char LAST_PRINTABLE = '~';

    /**
     * Checks the text.
     *
     * @throws NullPointerException if the text is null
     */
    public AffinityKey {
        Objects.requireNonNull(text, "The text must not be null");
    }

    /**
     * Returns the key of a request.
     *
     * @param values the values of the header, one for each time that it occurs
     * @return the key, {@link #NONE} if there are no values, or null if the value is empty, occurs twice, is longer
     *     than 256 characters or is not printable
     */
    public static AffinityKey parse(List<String> values) {
        if (values.isEmpty()) {
            return NONE;
        }
        String text = values.get(0).strip();
        boolean valid = values.size() == 1
                && !text.isEmpty()
                && text.length() <= MAX_LENGTH
                && text.chars().allMatch(each -> each >= FIRST_PRINTABLE && each <= LAST_PRINTABLE);
        return valid ? new AffinityKey(text) : null;
    }
}
