package org.cicadahead.protocol;

import java.util.Map;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RouteName;
import org.cicadahead.model.RunId;

/**
 * Asks an endpoint daemon to run a request.
 *
 * <p>Answered by {@link RunChunk}s in order and one {@link RunEnd}. Cancelling the call cancels the run.
 *
 * @param run identifies the attempt
 * @param organisation the organisation; {@code open} on open routes
 * @param weight the weight of the organisation in fair queueing
 * @param program the program, or null
 * @param root the root program, or null
 * @param attainedTokens tokens that the program has used so far
 * @param claim the claim, or null if the request is repeatable
 * @param route the route
 * @param policy how the run queue orders requests
 * @param digest the digest of the request
 * @param alone true if no other request may run on the endpoint at the same time
 * @param method the HTTP method
 * @param path the path and query at the endpoint
 * @param headers the headers to forward
 * @param body the body
 * @param stream whether the response is streamed
 * @param promptTokens estimated prompt tokens
 * @param maxTokens the maximum number of tokens to generate
 * @param deadlineMillis the time left until the deadline of the request, in milliseconds
 */
public record RunRequest(
        RunId run,
        OrganisationId organisation,
        double weight,
        ProgramKey program,
        ProgramKey root,
        long attainedTokens,
        ClaimRef claim,
        RouteName route,
        QueuePolicy policy,
        RequestDigest digest,
        boolean alone,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean stream,
        long promptTokens,
        long maxTokens,
        long deadlineMillis)
        implements Message {

    /** Makes immutable copies of the collections; null becomes an empty collection. */
    public RunRequest {
        headers = headers == null ? Map.of() : Map.copyOf(headers);
    }
}
