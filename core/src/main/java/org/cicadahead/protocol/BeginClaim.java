package org.cicadahead.protocol;

import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RouteName;

/**
 * Claims a request that may not be repeated. Answered by {@link ClaimReply}. A resend with the same nonce gets the
 * same answer.
 *
 * @param key the claim
 * @param digest the digest of the request
 * @param route the route
 * @param entry the entry
 * @param nonce identifies the attempt of the entry
 */
public record BeginClaim(ClaimKey key, RequestDigest digest, RouteName route, DaemonId entry, String nonce)
        implements Command {}
