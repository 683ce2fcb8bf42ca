package org.cicadahead.raft;

/**
 * Times and sizes of consensus. Immutable.
 *
 * @param heartbeatMillis the interval of heartbeats, in milliseconds
 * @param electionMinMillis the shortest election timeout, in milliseconds; a vote is refused for as long after hearing
 *     a leader
 * @param electionMaxMillis the longest election timeout, in milliseconds
 * @param leaseMillis how long a leader holds its lease after it sent what a majority acknowledged, in milliseconds
 * @param batchBytes the most bytes of entries in one message
 * @param windowBytes the most bytes of entries sent to a follower and not acknowledged
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
     * @throws IllegalArgumentException if the lease does not end before the shortest election timeout
     */
    public Timing {
        if (leaseMillis >= electionMinMillis || electionMaxMillis <= electionMinMillis) {
            throw new IllegalArgumentException("The lease must be shorter than the shortest election timeout");
        }
    }

    /**
     * Returns the times of the design page: heartbeat 100 ms, election 500 to 1,000 ms, lease 400 ms.
     *
     * @return the times
     */
    public static Timing standard() {
        return new Timing(100, 500, 1_000, 400, 1024 * 1024, 8L * 1024 * 1024);
    }

    /**
     * Returns times for a group within one region, where a lost leader costs more than an election too many: heartbeat
     * 90 ms, election 300 to 600 ms, lease 240 ms; a round trip takes 3 ms.
     *
     * @return the times
     */
    public static Timing withinRegion() {
        return new Timing(90, 300, 600, 240, 1024 * 1024, 8L * 1024 * 1024);
    }
}
