package org.cicadahead.protocol;

import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RouteName;

/**
 * Claims a non-idempotent request before it is run. Answered by {@link ClaimReply}. Idempotent: a retry with the same
 * nonce
 * gets the same answer.
 *
 * @param key the claim
 * @param digest the digest of the request
 * @param route the route
 * @param entry the entry that sends the claim
 * @param nonce identifies the attempt of the entry; a retry of the message carries the same nonce
 */
public record BeginClaim(ClaimKey key, RequestDigest digest, RouteName route, DaemonId entry, String nonce)
        implements Command {}
