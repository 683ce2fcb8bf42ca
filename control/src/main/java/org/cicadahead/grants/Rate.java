package org.cicadahead.grants;

import org.cicadahead.model.Organisation;

/**
 * Rate and burst of an organisation. Immutable.
 *
 * <p>The refill is an integer in billionths of a request, so that the buckets accumulate no rounding error. A rate is
 * rounded down to a multiple of one request in 10^6 s.
 *
 * @param unitsPerMilli the refill in billionths of a request per millisecond
 * @param burst the burst in requests
 */
public record Rate(long unitsPerMilli, long burst) {
    /** Number of units in one request; a unit is a billionth of a request. */
    public static final long UNITS_PER_REQUEST = 1_000_000_000L;

    private static final double UNITS_PER_MILLI_AT_ONE_PER_SECOND = 1e6;
    private static final long MAX_UNITS_PER_MILLI = UNITS_PER_REQUEST * 1_000_000;
    private static final long MAX_BURST = Long.MAX_VALUE / UNITS_PER_REQUEST / 4;
    private static final long MAX_WAIT_MILLIS = 86_400_000;

    /**
     * Returns the rate of an organisation.
     *
     * @param organisation the organisation
     * @return the rate
     */
    public static Rate of(Organisation organisation) {
        long units = (long) Math.min(
                MAX_UNITS_PER_MILLI, Math.floor(organisation.ratePerSecond() * UNITS_PER_MILLI_AT_ONE_PER_SECOND));
        return new Rate(units, Math.min(MAX_BURST, organisation.burst()));
    }

    /** Returns the maximum number of requests that may be granted and not yet reported as spent. */
    long outstandingLimit() {
        return Math.max(1, burst / 2);
    }

    /** Returns the number of units refilled during a period, at most the limit. */
    long refill(long millis, long limitUnits) {
        if (millis <= 0 || unitsPerMilli == 0 || limitUnits <= 0) {
            return 0;
        }
        return millis > limitUnits / unitsPerMilli ? limitUnits : Math.min(limitUnits, millis * unitsPerMilli);
    }

    /**
     * Returns the time that the refill of a number of units takes, rounded up. The result is at most a day; at rate 0
     * it is a day.
     */
    long refillMillis(long units) {
        if (unitsPerMilli == 0) {
            return MAX_WAIT_MILLIS;
        }
        return Math.min(MAX_WAIT_MILLIS, (units + unitsPerMilli - 1) / unitsPerMilli);
    }
}
