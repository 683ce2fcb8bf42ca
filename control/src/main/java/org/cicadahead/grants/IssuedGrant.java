package org.cicadahead.grants;

import org.cicadahead.model.DaemonId;

/** A grant that is neither fully spent, closed nor expired. Mutable; used only by its {@link TokenBucket}. */
final class IssuedGrant {
    final String id;
    final DaemonId entry;
    final long requests;
    final long expiresMillis;
    long spent;

    IssuedGrant(String id, DaemonId entry, long requests, long expiresMillis) {
        this.id = id;
        this.entry = entry;
        this.requests = requests;
        this.expiresMillis = expiresMillis;
    }

    long outstanding() {
        return requests - spent;
    }
}
