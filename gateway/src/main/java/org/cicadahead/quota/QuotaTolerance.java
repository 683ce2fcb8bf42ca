package org.cicadahead.quota;

/**
 * How far above rate and burst an organisation may be served in a window. Immutable and safe for use by several
 * threads. It pays for what a new leader cannot know: how much of the burst was used under the leader before it.
 *
 * <p>The first use is {@link #requests(double, double)}.
 *
 * @param overage the part of what rate and burst allow in a window
 * @param windowSeconds the length of the window, in seconds
 * @param slack requests on top, whatever the rate
 */
public record QuotaTolerance(double overage, double windowSeconds, double slack) {
    /** Rate and burst hold to the request. */
    public static final QuotaTolerance NONE = new QuotaTolerance(0, 1, 0);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if one is negative
     */
    public QuotaTolerance {
        if (overage < 0 || windowSeconds < 0 || slack < 0) {
            throw new IllegalArgumentException(
                    "No part may be negative: " + overage + ", " + windowSeconds + ", " + slack);
        }
    }

    /**
     * Returns the requests that may be admitted on top of rate and burst in a window.
     *
     * @param ratePerSecond the rate of the organisation
     * @param burst its burst, in requests
     * @return the requests
     */
    public double requests(double ratePerSecond, double burst) {
        return overage * (ratePerSecond * windowSeconds + burst) + slack;
    }
}
