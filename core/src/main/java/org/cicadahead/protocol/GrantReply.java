package org.cicadahead.protocol;

import java.util.List;

/**
 * Answers {@link GrantRequest}.
 *
 * @param validMillis how long the grants may be used, in milliseconds from when the request was sent
 * @param grants one grant for each line of the request
 */
public record GrantReply(long validMillis, List<Grant> grants) implements Message {

    /** Copies the collections; an absent one is empty. */
    public GrantReply {
        grants = grants == null ? List.of() : List.copyOf(grants);
    }
}
