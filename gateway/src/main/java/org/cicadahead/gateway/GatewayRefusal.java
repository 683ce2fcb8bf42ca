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

    /**
     * Checks the reason.
     *
     * @throws NullPointerException if the reason is null
     */
    public GatewayRefusal {
        Objects.requireNonNull(reason, "The reason must not be null");
    }

    /**
     * Returns a refusal without a time to come back.
     *
     * @param reason the reason
     * @return the refusal
     */
    public static GatewayRefusal of(RefusalReason reason) {
        return new GatewayRefusal(reason, 0);
    }
}
