package org.cicadahead.placement;

import java.util.Set;

/**
 * This entry's share of the requests per second that an endpoint accepts from all entries together. Not thread-safe.
 *
 * <p>The limit is divided among a few holders, each with a token bucket. The number of holders
 * follows from the limit, because the full buckets of all entries together would exceed a small limit. The other
 * entries send a single request now and then, which shows them whether the limit still applies.
 */
final class EndpointLimit {
    /** The number of holders for each request per second of the limit, so that one token each is two seconds of it. */
    static final double HOLDERS_PER_REQUEST = 2;
    /** The limit that is assumed if an endpoint states a lower one; otherwise its end would never be noticed. */
    static final double MIN_LIMIT = 0.1;
    /**
     * The time slot in which one of the entries that hold no share may send a request, in milliseconds; longer than the
     * difference between the clocks of entries.
     */
    static final long PROBE_SLOT_MILLIS = 2_000;
    /** The tokens that a bucket holds, in seconds of its rate; at least one token. */
    private static final double BURST_SECONDS = 1;
    /** The interval at which the share is computed again, in milliseconds; the entries rarely change. */
    private static final long SHARE_MILLIS = 250;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String endpoint;
    private final EntryGroup entries;
    private double limit;
    private double rate;
    private int probers;
    private int probeRank;
    private long sharedMillis = NEVER;
    private double tokens;
    private long refilledMillis;
    private long takenMillis = NEVER;

    EndpointLimit(String endpoint, double limit, EntryGroup entries, long nowMillis) {
        this.endpoint = endpoint;
        this.entries = entries;
        this.refilledMillis = nowMillis;
        update(limit, nowMillis);
    }

    /** Replaces the limit; what has been saved of the share is kept. */
    void update(double requestsPerSecond, long nowMillis) {
        if (requestsPerSecond != limit) {
            refill(nowMillis);
            limit = requestsPerSecond;
            divide(nowMillis);
        }
    }

    /** Returns the time until a request may be sent, in milliseconds; 0 if it may be sent now. */
    long delayMillis(long nowMillis) {
        refill(nowMillis);
        if (nowMillis - sharedMillis >= SHARE_MILLIS) {
            divide(nowMillis);
        }
        return probers > 0 ? probeDelayMillis(nowMillis) : tokenDelayMillis();
    }

    /** Counts a request that is sent. */
    void take(long nowMillis) {
        refill(nowMillis);
        tokens = Math.max(0, tokens - 1);
        takenMillis = nowMillis;
    }

    private void divide(long nowMillis) {
        Set<String> members = entries.members(nowMillis);
        double divided = Math.max(MIN_LIMIT, limit);
        int holders = (int) Math.max(1, Math.min(members.size(), HOLDERS_PER_REQUEST * divided));
        int rank = entries.rank(endpoint, members);
        boolean holder = rank < holders;
        rate = holder ? divided / holders : 0;
        probers = holder ? 0 : members.size() - holders;
        probeRank = rank - holders;
        sharedMillis = nowMillis;
    }

    private long tokenDelayMillis() {
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / rate * MILLIS_PER_SECOND);
    }

    /** The probers take turns, one in each slot. A request that is not sent in its slot is not made up for. */
    private long probeDelayMillis(long nowMillis) {
        long wallMillis = entries.wallMillis(nowMillis);
        long inSlot = Math.floorMod(wallMillis, PROBE_SLOT_MILLIS);
        long slotsLeft = Math.floorMod(probeRank - Math.floorDiv(wallMillis, PROBE_SLOT_MILLIS), (long) probers);
        boolean taken = takenMillis >= nowMillis - inSlot;
        if (slotsLeft == 0 && !taken) {
            return 0;
        }
        return (slotsLeft == 0 ? probers : slotsLeft) * PROBE_SLOT_MILLIS - inSlot;
    }

    private void refill(long nowMillis) {
        tokens = Math.min(
                Math.max(1, rate * BURST_SECONDS),
                tokens + rate * Math.max(0, nowMillis - refilledMillis) / MILLIS_PER_SECOND);
        refilledMillis = Math.max(refilledMillis, nowMillis);
    }
}
