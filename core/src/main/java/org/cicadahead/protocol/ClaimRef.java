package org.cicadahead.protocol;

import org.cicadahead.model.ClaimKey;

/**
 * A claim together with the fencing token of the attempt that holds it. Immutable.
 *
 * @param key the claim
 * @param fence the fencing token
 */
public record ClaimRef(ClaimKey key, long fence) {}
