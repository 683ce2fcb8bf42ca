package org.cicadahead.fleet;

/**
 * A share of an organisation's rate. Immutable.
 *
 * @param organisation the name of the organisation
 * @param rate the share of the rate, per second
 * @param burst the share of the burst
 * @param tokens the initial tokens that come with a larger share of the burst, so that the bucket need not fill first
 * @param extra the number of additional requests that may be admitted once, within a second
 */
public record QuotaShare(String organisation, double rate, double burst, double tokens, int extra) {}
