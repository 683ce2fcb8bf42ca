package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * The API key of a caller, of which only the digest is stored. Immutable.
 *
 * @param digest the SHA-256 digest of the key
 * @param organisation the organisation that the key belongs to
 * @param label a name for operators; the system does not interpret it
 */
public record Key(KeyDigest digest, OrganisationId organisation, String label) implements Resource {

    /**
     * Validates the values.
     *
     * @throws NullPointerException if the digest or the organisation is null
     */
    public Key {
        Objects.requireNonNull(digest, "The digest must not be null");
        Objects.requireNonNull(organisation, "The organisation must not be null");
        label = label == null ? "" : label;
    }

    @Override
    @JsonIgnore
    public ResourceKind kind() {
        return ResourceKind.KEY;
    }

    @Override
    @JsonIgnore
    public String resourceName() {
        return digest.value();
    }
}
