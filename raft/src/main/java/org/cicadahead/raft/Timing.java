package org.cicadahead.raft;

/**
 * The timeouts and size limits of the consensus algorithm. Immutable.
 *
 * @param heartbeatMillis the heartbeat interval, in milliseconds
 * @param electionMinMillis the shortest election timeout, in milliseconds; votes are refused for this time after a
 *     message from a leader
 * @param electionMaxMillis the longest election timeout, in milliseconds
 * @param leaseMillis the duration of a lease, in milliseconds, counted from the send time of the latest message that a
 *     majority acknowledged
 * @param batchBytes the maximum size of the entries in one message, in bytes
 * @param windowBytes the maximum size of the entries in flight to one follower, in bytes
 */
public record Timing(
        long heartbeatMillis,
        long electionMinMillis,
        long electionMaxMillis,
        long leaseMillis,
        int batchBytes,
        long windowBytes) {

    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException if the lease is not shorter than the shortest election timeout, or the longest
     *     election timeout does not exceed the shortest
     */
    public Timing {
        if (leaseMillis >= electionMinMillis || electionMaxMillis <= electionMinMillis) {
            throw new IllegalArgumentException(
                    "The timing must satisfy leaseMillis < electionMinMillis < electionMaxMillis");
        }
    }

    /**
     * Returns the default timing from the design page: heartbeat interval 100 ms, election timeout 500 to 1,000 ms,
     * lease 400 ms.
     *
     * @return the timing
     */
    public static Timing standard() {
        return new Timing(100, 500, 1_000, 400, 1024 * 1024, 8L * 1024 * 1024);
    }

    /**
     * Returns the timing for a group within one region, where a round trip takes 3 ms: heartbeat interval 90 ms,
     * election timeout 300 to 600 ms, lease 240 ms. The shorter timeouts cause occasional unnecessary elections, but
     * these cost less than a longer time without a leader after a failure.
     *
     * @return the timing
     */
    public static Timing withinRegion() {
        return new Timing(90, 300, 600, 240, 1024 * 1024, 8L * 1024 * 1024);
    }
}
