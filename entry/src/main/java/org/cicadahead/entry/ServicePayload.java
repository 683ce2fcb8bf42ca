package org.cicadahead.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.protocol.HistoryRecord;

/** The payload of a request to a plain service. */
final class ServicePayload implements RequestPayload {
    private static final byte[] NO_MESSAGES = ChatPayload.utf8("[]");

    private final EndpointCall call;
    private final RequestDigest digest;

    private ServicePayload(EndpointCall call, RequestDigest digest) {
        this.call = call;
        this.digest = digest;
    }

    static ServicePayload of(CallerRequest request) {
        Map<String, String> headers = new HashMap<>(request.headers());
        if (request.idempotencyKey() != null) {
            headers.put("idempotency-key", request.idempotencyKey().value());
        }
        RequestDigest digest = Json.digest(
                ChatPayload.utf8(request.method()),
                ChatPayload.utf8(request.route().value()),
                ChatPayload.utf8(request.path()),
                request.body());
        long tokens = 1 + ChatPayload.estimateTokens(request.body().length);
        return new ServicePayload(
                new EndpointCall(request.method(), request.path(), headers, request.body(), NO_MESSAGES, tokens),
                digest);
    }

    @Override
    public RequestDigest digest() {
        return digest;
    }

    @Override
    public boolean isStream() {
        return false;
    }

    @Override
    public boolean isStreamedByEndpoint() {
        return false;
    }

    @Override
    public long maxTokens() {
        return 0;
    }

    @Override
    public ResponseCollector collector() {
        return new BodyCollector(false);
    }

    @Override
    public EndpointCall call(List<HistoryRecord> history) {
        return call;
    }
}
