package org.cicadahead.quota;

/**
 * How far an organisation may exceed its rate and burst in a window. Immutable. The tolerance is needed because a new
 * leader cannot know how much of the burst was used under the previous leader.
 *
 * @param overage the tolerated excess, as a fraction of the requests that rate and burst allow in a window
 * @param windowSeconds the length of the window, in seconds
 * @param slack a number of requests that is tolerated in addition, whatever the rate
 */
public record QuotaTolerance(double overage, double windowSeconds, double slack) {
    /** No tolerance: rate and burst are never exceeded. */
    public static final QuotaTolerance NONE = new QuotaTolerance(0, 1, 0);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if one is negative
     */
    public QuotaTolerance {
        if (overage < 0 || windowSeconds < 0 || slack < 0) {
            throw new IllegalArgumentException(
                    "No component may be negative: " + overage + ", " + windowSeconds + ", " + slack);
        }
    }

    /**
     * Returns the number of requests that may be admitted in addition to rate and burst in a window.
     *
     * @param ratePerSecond the rate of the organisation
     * @param burst its burst, in requests
     * @return the number of requests
     */
    public double requests(double ratePerSecond, double burst) {
        return overage * (ratePerSecond * windowSeconds + burst) + slack;
    }
}
