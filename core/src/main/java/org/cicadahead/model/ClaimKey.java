package org.cicadahead.model;

import java.util.Objects;

/**
 * Identifies a claim of a request that may not be repeated. Immutable.
 *
 * @param organisation the organisation
 * @param key the idempotency key within it
 */
public record ClaimKey(OrganisationId organisation, IdempotencyKey key) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a value is null
     */
    public ClaimKey {
        Objects.requireNonNull(organisation, "The organisation must not be null");
        Objects.requireNonNull(key, "The key must not be null");
    }

    /**
     * Returns the key of a claim.
     *
     * @param organisation the organisation
     * @param key the idempotency key within it
     * @return the claim key
     * @throws NullPointerException if a value is null
     */
    public static ClaimKey of(OrganisationId organisation, IdempotencyKey key) {
        return new ClaimKey(organisation, key);
    }
}
