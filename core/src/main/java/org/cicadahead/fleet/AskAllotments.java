package org.cicadahead.fleet;

import java.util.List;
import org.cicadahead.protocol.Message;

/**
 * Asks the leader of the hubs for shares of rates. Answered by {@link Allotments}.
 *
 * @param entry the name of the entry
 * @param needs a line for each organisation
 */
public record AskAllotments(String entry, List<AllotmentNeed> needs) implements Message {

    /** Copies the list. */
    public AskAllotments {
        needs = needs == null ? List.of() : List.copyOf(needs);
    }
}
