package org.cicadahead.routing;

/**
 * Token bucket that limits retries to a share of the requests, so that retries cannot multiply the load of a failing
 * pool.
 *
 * <p>Not thread-safe. Instances come from {@link #create(double, double)}.
 */
public final class RetryBudget {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double share;
    private final double minPerSecond;
    private double tokens;
    private long refilledAtMillis = Long.MIN_VALUE;

    private RetryBudget(double share, double minPerSecond) {
        this.share = share;
        this.minPerSecond = minPerSecond;
        this.tokens = minPerSecond;
    }

    /**
     * Returns a budget.
     *
     * @param share retries allowed per request, from 0 to 1
     * @param minPerSecond retries per second that are allowed independently of the number of requests
     * @return the budget
     * @throws IllegalArgumentException if an argument is out of range
     */
    public static RetryBudget create(double share, double minPerSecond) {
        if (!(share >= 0 && share <= 1) || !(minPerSecond >= 0)) {
            throw new IllegalArgumentException("The share must be from 0 to 1 and the minimum must not be negative");
        }
        return new RetryBudget(share, minPerSecond);
    }

    /** Counts a request that is not a retry. */
    public void countRequest() {
        tokens = Math.min(tokens + share, maxTokens());
    }

    /**
     * Takes one retry from the budget if it has one.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true if the retry is allowed
     */
    public boolean tryRetry(long nowMillis) {
        if (refilledAtMillis != Long.MIN_VALUE && nowMillis > refilledAtMillis) {
            double refill = minPerSecond * (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND;
            // The refill over time adds tokens only up to the minimum; tokens above it come from requests and are kept.
            tokens = Math.max(tokens, Math.min(tokens + refill, minPerSecond));
        }
        refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns the capacity of the bucket. It is bounded so that a long time without retries does not allow a burst of
     * them.
     */
    private double maxTokens() {
        return Math.max(minPerSecond, 1) * 10;
    }
}
