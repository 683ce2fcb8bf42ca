package org.cicadahead.protocol;

import java.util.List;
import org.cicadahead.model.DaemonId;

/**
 * Asks the leader for permission to admit requests. Answered by {@link GrantReply}.
 *
 * @param entry the entry
 * @param generation start time of the entry in milliseconds since the epoch
 * @param lines one line for each organisation
 */
public record GrantRequest(DaemonId entry, long generation, List<GrantLine> lines) implements Message {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public GrantRequest {
        lines = lines == null ? List.of() : List.copyOf(lines);
    }
}
