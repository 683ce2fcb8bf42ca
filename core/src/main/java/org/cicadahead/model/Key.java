package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * A caller key, known only by its digest. Immutable.
 *
 * @param digest the SHA-256 digest of the key
 * @param organisation the organisation that the key belongs to
 * @param label a name for operators, without meaning to the system
 */
public record Key(KeyDigest digest, OrganisationId organisation, String label) implements Resource {

    /**
     * Checks the values.
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
