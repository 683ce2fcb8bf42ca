package org.cicadahead.entry;

import java.util.List;
import java.util.Map;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.protocol.HistoryRecord;

/** What a request asks an endpoint to do. Implementations are immutable. */
interface RequestPayload {

    /** Returns the digest of what the caller sent; a resend has the same. */
    RequestDigest digest();

    /** Returns whether the caller wants a stream. */
    boolean isStream();

    /**
     * Returns whether the endpoint streams the answer. A claimed request is not streamed by the endpoint, as its whole
     * answer is its recorded outcome.
     */
    boolean isRelayed();

    /** Returns the tokens that may be generated. */
    long maxTokens();

    /** Returns a collector of the answer. */
    ResponseCollector collector();

    /** Returns what to send to the endpoint after a history. */
    Call call(List<HistoryRecord> history);

    /**
     * What to send to an endpoint.
     *
     * @param method the HTTP method
     * @param path the path with query
     * @param headers the headers
     * @param body the body
     * @param newMessages the messages that the history does not have yet, as JSON
     * @param promptTokens estimated prompt tokens
     */
    record Call(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            byte[] newMessages,
            long promptTokens) {}
}
