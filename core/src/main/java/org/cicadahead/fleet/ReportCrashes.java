package org.cicadahead.fleet;

import java.util.List;
import org.cicadahead.protocol.Message;

/**
 * Reports requests that may have crashed endpoints to a hub, which passes them on to all entries. Answered by
 * {@link org.cicadahead.protocol.Done}.
 *
 * @param crashes the observations
 */
public record ReportCrashes(List<CrashEvidence> crashes) implements Message {

    /** Makes an immutable copy of the list; null becomes an empty list. */
    public ReportCrashes {
        crashes = crashes == null ? List.of() : List.copyOf(crashes);
    }
}
