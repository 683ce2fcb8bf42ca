package org.cicadahead.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import org.cicadahead.model.ResourceKind;

/**
 * A resource as of a revision, or its deletion. Immutable.
 *
 * @param kind the kind
 * @param name the name
 * @param revision the configuration revision of the change
 * @param body the resource, or null if it was deleted
 */
public record ResourceChange(ResourceKind kind, String name, long revision, JsonNode body) {}
