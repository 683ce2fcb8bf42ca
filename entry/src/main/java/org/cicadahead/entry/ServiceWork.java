package org.cicadahead.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.protocol.HistoryRecord;

/** A call of a plain service. */
final class ServiceWork implements Work {
    private static final byte[] NO_MESSAGES = ChatWork.bytes("[]");

    private final Call call;
    private final RequestDigest digest;

    private ServiceWork(Call call, RequestDigest digest) {
        this.call = call;
        this.digest = digest;
    }

    static ServiceWork of(CallerRequest request) {
        Map<String, String> headers = new HashMap<>(request.headers());
        if (request.idempotencyKey() != null) {
            headers.put("idempotency-key", request.idempotencyKey().value());
        }
        RequestDigest digest = Json.digest(
                ChatWork.bytes(request.method()),
                ChatWork.bytes(request.route().value()),
                ChatWork.bytes(request.path()),
                request.body());
        long tokens = 1 + ChatWork.tokens(request.body().length);
        return new ServiceWork(
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
    public AnswerCollector collector() {
        return new BodyCollector(false);
    }

    @Override
    public Call call(List<HistoryRecord> history) {
        return call;
    }
}
