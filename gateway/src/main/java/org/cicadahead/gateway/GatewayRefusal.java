package org.cicadahead.gateway;

import java.util.Objects;
import org.cicadahead.model.RefusalReason;

/**
 * The reason for which a request is refused, and the retry delay. Immutable.
 *
 * @param reason the reason
 * @param retryAfterMillis the delay after which a retry may succeed, in milliseconds; 0 if a retry does not help or the
 *     delay is unknown
 */
public record GatewayRefusal(RefusalReason reason, long retryAfterMillis) {
    /**
     * The usual time in which a started entry receives its configuration, in milliseconds: the time to connect to a
     * hub.
     */
    private static final long SITE_RETRY_MILLIS = 150;
    /** The usual time for which a group has no leader, in milliseconds: about the duration of an election. */
    private static final long LEADER_RETRY_MILLIS = 400;

    /**
     * Checks the reason.
     *
     * @throws NullPointerException if the reason is null
     */
    public GatewayRefusal {
        Objects.requireNonNull(reason, "The reason must not be null");
    }

    /**
     * Returns a refusal with the default retry delay for its reason.
     *
     * @param reason the reason
     * @return the refusal
     */
    public static GatewayRefusal of(RefusalReason reason) {
        return new GatewayRefusal(
                reason,
                switch (reason) {
                    case SITE_UNKNOWN -> SITE_RETRY_MILLIS;
                    case STORES_UNAVAILABLE, RATE_GRANT_UNAVAILABLE -> LEADER_RETRY_MILLIS;
                    default -> 0;
                });
    }
}
