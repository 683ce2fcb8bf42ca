package org.cicadahead.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.protocol.HistoryRecord;

/** A call of a plain service. */
final class ServicePayload implements RequestPayload {
    private static final byte[] NO_MESSAGES = ChatPayload.bytes("[]");

    private final Call call;
    private final RequestDigest digest;

    private ServicePayload(Call call, RequestDigest digest) {
        this.call = call;
        this.digest = digest;
    }

    static ServicePayload of(CallerRequest request) {
        Map<String, String> headers = new HashMap<>(request.headers());
        if (request.idempotencyKey() != null) {
            headers.put("idempotency-key", request.idempotencyKey().value());
        }
        RequestDigest digest = Json.digest(
                ChatPayload.bytes(request.method()),
                ChatPayload.bytes(request.route().value()),
                ChatPayload.bytes(request.path()),
                request.body());
        long tokens = 1 + ChatPayload.tokens(request.body().length);
        return new ServicePayload(
                new Call(request.method(), request.path(), headers, request.body(), NO_MESSAGES, tokens), digest);
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
    public boolean isRelayed() {
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
    public Call call(List<HistoryRecord> history) {
        return call;
    }
}
