package org.cicadahead.protocol;

import org.cicadahead.model.ClaimKey;

/**
 * A claim under a fencing token. Immutable.
 *
 * @param key the claim
 * @param fence the fencing token
 */
public record ClaimRef(ClaimKey key, long fence) {}
