package org.cicadahead.entry;

import java.util.List;
import java.util.Map;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.protocol.HistoryRecord;

/** The content of a request to an endpoint. Implementations are immutable. */
interface RequestPayload {

    /** Returns the digest of the request as sent by the caller; the same if the caller sends it again. */
    RequestDigest digest();

    /** Returns whether the caller requested a streamed response. */
    boolean isStream();

    /**
     * Returns whether the endpoint streams the response. The response to a claimed request is not streamed, because it
     * is recorded as a whole, as the outcome of the claim.
     */
    boolean isStreamedByEndpoint();

    /** Returns the maximum number of tokens to generate. */
    long maxTokens();

    /** Returns a new collector for the response. */
    ResponseCollector collector();

    /** Returns the call to the endpoint, given the history of the program. */
    EndpointCall call(List<HistoryRecord> history);

    /**
     * A call to an endpoint.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param headers the headers
     * @param body the body
     * @param newMessages the messages that are not in the history yet, as JSON
     * @param promptTokens estimated number of prompt tokens
     */
    record EndpointCall(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            byte[] newMessages,
            long promptTokens) {}
}
