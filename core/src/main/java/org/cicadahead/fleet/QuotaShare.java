package org.cicadahead.fleet;

/**
 * A share of an organisation's rate. Immutable.
 *
 * @param organisation the name of the organisation
 * @param rate the share of the rate, per second
 * @param burst the share of the burst
 * @param tokens requests that go with a larger share of the burst, so that it need not fill first
 * @param extra requests that may be admitted once on top, within a second
 */
public record QuotaShare(String organisation, double rate, double burst, double tokens, int extra) {}
