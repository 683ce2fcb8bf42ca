package org.cicadahead.gateway;

import java.util.Objects;
import org.cicadahead.model.RefusalReason;

/**
 * Why a request is refused and when to come back. Immutable.
 *
 * @param reason the reason
 * @param retryAfterMillis after what time coming back is worth it, in milliseconds; 0 if it does not help or is not
 *     known
 */
public record GatewayRefusal(RefusalReason reason, long retryAfterMillis) {
    /** How long an entry that has started is without a configuration, in milliseconds: one connection to a hub. */
    private static final long SITE_MILLIS = 150;
    /** How long a group is without a leader, in milliseconds: about an election. */
    private static final long LEADER_MILLIS = 400;

    /**
     * Checks the reason.
     *
     * @throws NullPointerException if the reason is null
     */
    public GatewayRefusal {
        Objects.requireNonNull(reason, "The reason must not be null");
    }

    /**
     * Returns a refusal with the usual time to come back for its reason.
     *
     * @param reason the reason
     * @return the refusal
     */
    public static GatewayRefusal of(RefusalReason reason) {
        return new GatewayRefusal(
                reason,
                switch (reason) {
                    case SITE_UNKNOWN -> SITE_MILLIS;
                    case STORES_UNAVAILABLE, RATE_GRANT_UNAVAILABLE -> LEADER_MILLIS;
                    default -> 0;
                });
    }
}
