package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.RequestDigest;

/**
 * Reports that requests which were suspected of crashing an engine have completed. Answered by {@link Done}.
 *
 * @param digests the digests of the requests
 */
public record ClearSuspects(List<RequestDigest> digests) implements Command {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public ClearSuspects {
        digests = digests == null ? List.of() : List.copyOf(digests);
    }
}
