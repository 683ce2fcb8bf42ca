package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.RequestDigest;

/**
 * Reports that suspects completed. Answered by {@link Done}.
 *
 * @param digests the digests
 */
public record ClearSuspects(List<RequestDigest> digests) implements Command {

    /** Copies the collections; an absent one is empty. */
    public ClearSuspects {
        digests = digests == null ? List.of() : List.copyOf(digests);
    }
}
