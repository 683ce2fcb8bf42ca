package org.cicadahead.protocol;

import java.util.List;

/**
 * Answers {@link GrantRequest}.
 *
 * @param validMillis the validity of the grants, in milliseconds from the time when the request was sent
 * @param grants one grant for each line of the request
 */
public record GrantReply(long validMillis, List<Grant> grants) implements Message {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public GrantReply {
        grants = grants == null ? List.of() : List.copyOf(grants);
    }
}
