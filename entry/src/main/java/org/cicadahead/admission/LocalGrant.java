package org.cicadahead.admission;

import org.cicadahead.protocol.GrantUse;

/** A rate grant held by this entry, or a closed one that the leader has not acknowledged yet. */
final class LocalGrant {
    private final String id;
    private final long requests;
    private final long expiresAtMillis;
    private long spent;
    private long reported;
    private boolean closed;

    LocalGrant(String id, long requests, long expiresAtMillis) {
        this.id = id;
        this.requests = requests;
        this.expiresAtMillis = expiresAtMillis;
    }

    String id() {
        return id;
    }

    long expiresAtMillis() {
        return expiresAtMillis;
    }

    boolean isClosed() {
        return closed;
    }

    boolean hasUnreportedUse() {
        return closed || spent > reported;
    }

    long remaining(long nowMillis) {
        return closed || nowMillis >= expiresAtMillis ? 0 : requests - spent;
    }

    boolean trySpend(long nowMillis) {
        if (remaining(nowMillis) <= 0) {
            return false;
        }
        spent++;
        return true;
    }

    void close() {
        closed = true;
    }

    GrantUse use() {
        return new GrantUse(id, spent, closed || spent == requests);
    }

    /**
     * Records that the leader received a report on the use of the grant. Returns true if the report closed the grant,
     * so that it can be dropped.
     */
    boolean acknowledge(GrantUse use) {
        reported = Math.max(reported, use.spent());
        return use.closed();
    }
}
