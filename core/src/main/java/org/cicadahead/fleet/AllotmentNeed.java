package org.cicadahead.fleet;

/**
 * What an entry needs of an organisation's rate, and what it holds. Immutable.
 *
 * @param organisation the name of the organisation
 * @param demandPerSecond the requests per second that the entry sees
 * @param heldRate the share of the rate that it holds, per second; 0 if its lease has ended
 * @param heldBurst the share of the burst that it holds
 * @param urgent how many requests wait for want of a share
 */
public record AllotmentNeed(
        String organisation, double demandPerSecond, double heldRate, double heldBurst, int urgent) {}
