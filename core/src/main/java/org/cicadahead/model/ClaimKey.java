package org.cicadahead.model;

import java.util.Objects;

/**
 * Identifies the claim of a non-idempotent request, which runs at most once. Immutable.
 *
 * @param organisation the organisation
 * @param key the idempotency key within it
 */
public record ClaimKey(OrganisationId organisation, IdempotencyKey key) {

    /**
     * Validates the values.
     *
     * @throws NullPointerException if a value is null
     */
    public ClaimKey {
        Objects.requireNonNull(organisation, "The organisation must not be null");
        Objects.requireNonNull(key, "The key must not be null");
    }

    /**
     * Returns the key of the claim with the given idempotency key.
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
