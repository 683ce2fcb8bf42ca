package org.cicadahead.fleet;

import java.util.Map;

/**
 * What an entry needs of an organisation's rate, and what it holds. Immutable.
 *
 * @param organisation the name of the organisation
 * @param demandPerSecond the requests per second that the entry sees
 * @param heldRate the share of the rate that it holds, per second; 0 if its lease has ended
 * @param heldBurst the share of the burst that it holds
 * @param spilled the requests that its shares allowed and that it did not need, since it started
 * @param urgent how many requests wait for want of a share, by their priority class
 */
public record QuotaNeed(
        String organisation,
        double demandPerSecond,
        double heldRate,
        double heldBurst,
        double spilled,
        Map<PriorityClass, Integer> urgent) {

    /** Copies the map. */
    public QuotaNeed {
        urgent = urgent == null ? Map.of() : Map.copyOf(urgent);
    }
}
