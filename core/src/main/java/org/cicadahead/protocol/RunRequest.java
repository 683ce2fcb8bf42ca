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
 * @param policy how the queue orders
 * @param digest the digest of the request
 * @param alone true if nothing else may run on the endpoint at the same time
 * @param method the HTTP method
 * @param path the path with query at the endpoint
 * @param headers the headers to forward
 * @param body the body
 * @param stream whether the answer is streamed
 * @param promptTokens estimated prompt tokens
 * @param maxTokens the tokens that may be generated
 * @param deadlineMillis how long the request may still take, in milliseconds
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

    /** Copies the collections; an absent one is empty. */
    public RunRequest {
        headers = headers == null ? Map.of() : Map.copyOf(headers);
    }
}
