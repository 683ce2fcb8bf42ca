package org.cicadahead.fleet;

import java.util.Map;

/**
 * The demand of an entry on the rate of an organisation, and the share that it holds. Immutable.
 *
 * @param organisation the name of the organisation
 * @param demandPerSecond the rate of requests that the entry receives, per second
 * @param heldRate the share of the rate that it holds, per second; 0 if its lease has expired
 * @param heldBurst the share of the burst that it holds
 * @param spilled the number of requests since the start of the entry that its shares allowed but that it did not need
 * @param urgent the number of requests that wait because no share is left, by priority class
 */
public record QuotaNeed(
        String organisation,
        double demandPerSecond,
        double heldRate,
        double heldBurst,
        double spilled,
        Map<PriorityClass, Integer> urgent) {

    /** Makes an immutable copy of the map; null becomes an empty map. */
    public QuotaNeed {
        urgent = urgent == null ? Map.of() : Map.copyOf(urgent);
    }
}
