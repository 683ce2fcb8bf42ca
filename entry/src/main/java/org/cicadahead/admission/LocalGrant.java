package org.cicadahead.admission;

import org.cicadahead.protocol.GrantUse;

/** A grant that an entry holds, or has held and not yet reported as closed. */
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

    boolean isUnreported() {
        return closed || spent > reported;
    }

    long left(long nowMillis) {
        return closed || nowMillis >= expiresAtMillis ? 0 : requests - spent;
    }

    boolean trySpend(long nowMillis) {
        if (left(nowMillis) <= 0) {
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

    /** Takes note that the leader knows a use; returns true if nothing is left to report or to spend. */
    boolean acknowledged(GrantUse use) {
        reported = Math.max(reported, use.spent());
        return use.closed();
    }
}
