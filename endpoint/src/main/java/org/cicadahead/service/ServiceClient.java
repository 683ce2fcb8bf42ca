package org.cicadahead.service;

import java.net.URI;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadahead.http.CloseDelimitedResponse;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;

/**
 * An HTTP client for one service that is not an engine. Thread-safe; no method blocks.
 *
 * <p>A call is sent at most once: redirects are not followed, and each call has its own connection. With a pooled
 * connection, the client may detect only after it has written the request that the service had closed the connection,
 * which would leave the outcome unknown.
 */
public final class ServiceClient {
    /** The maximum size of a response, in bytes. A larger one could not be recorded as the outcome of a claim. */
    public static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private static final Set<String> FORWARDED_HEADERS = Set.of("content-type", "idempotency-key", "accept");

    private final HttpClient http;
    private final URI target;

    private ServiceClient(HttpClient http, URI target) {
        this.http = Objects.requireNonNull(http, "The HTTP client must not be null");
        this.target = Objects.requireNonNull(target, "The target must not be null");
    }

    /**
     * Returns a client for a service.
     *
     * @param http a started HTTP client without redirects and protocol handlers, which the caller closes
     * @param target the base address of the service
     * @return the client
     */
    public static ServiceClient to(HttpClient http, URI target) {
        return new ServiceClient(http, target);
    }

    /**
     * Calls the service once.
     *
     * @param call the call
     * @return a future of the response, which fails with a {@link ServiceException}
     */
    public CompletableFuture<ServiceResponse> call(ServiceCall call) {
        CompletableFuture<ServiceResponse> response = new CompletableFuture<>();
        AtomicBoolean requestBegun = new AtomicBoolean();
        Request request;
        try {
            request = request(call);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(
                    new ServiceException(false, "the call to the service is malformed", e));
        }
        request.onRequestBegin(r -> requestBegun.set(true)).send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result result) {
                byte[] body = Objects.requireNonNullElse(getContent(), new byte[0]);
                if (result.isSucceeded() && !CloseDelimitedResponse.isCutOff(result.getResponse(), body)) {
                    response.complete(new ServiceResponse(
                            result.getResponse().getStatus(),
                            Objects.requireNonNullElse(
                                    result.getResponse().getHeaders().get("Content-Type"), ""),
                            body));
                } else {
                    response.completeExceptionally(new ServiceException(
                            requestBegun.get(), "the service sent no complete response", result.getFailure()));
                }
            }
        });
        return response;
    }

    private Request request(ServiceCall call) {
        String base = target.toString();
        String prefix = base.endsWith("/") ? base.substring(0, base.length() - 1) : base;
        String path = call.path().startsWith("/") ? call.path() : "/" + call.path();
        Request request = http.newRequest(URI.create(prefix + path))
                .method(call.method())
                .timeout(Math.max(1, call.timeoutMillis()), TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put("Connection", "close"));
        String contentType = null;
        for (Map.Entry<String, String> header : call.headers().entrySet()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (name.equals("content-type")) {
                contentType = header.getValue();
            } else if (FORWARDED_HEADERS.contains(name)) {
                request.headers(headers -> headers.put(header.getKey(), header.getValue()));
            }
        }
        if (call.body().length > 0) {
            request.body(new BytesRequestContent(
                    Objects.requireNonNullElse(contentType, "application/octet-stream"), call.body()));
        }
        return request;
    }
}
