package org.cicadahead.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cicadahead.model.RunId;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.jboss.logging.Logger;

/**
 * An HTTP client for one engine. Thread-safe; no method blocks.
 *
 * <p>Clients are created by {@link #to(HttpClient, URI)}; runs are started by {@link #run(EngineRun, EngineListener)}.
 */
public final class EngineClient {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final int CANCEL_ATTEMPTS = 4;
    private static final long CANCEL_RETRY_MILLIS = 200;
    private static final int NOT_FOUND = 404;
    private static final int MIN_ERROR_STATUS = 400;

    private final HttpClient http;
    private final URI target;
    private final Object fenceLock = new Object();
    private long highestFence;

    private EngineClient(HttpClient http, URI target) {
        this.http = Objects.requireNonNull(http, "The HTTP client must not be null");
        this.target = Objects.requireNonNull(target, "The target must not be null");
    }

    /**
     * Returns a client for an engine.
     *
     * @param http a started HTTP client, which the caller closes
     * @param target the base address of the engine
     * @return the client
     */
    public static EngineClient to(HttpClient http, URI target) {
        return new EngineClient(http, target);
    }

    /**
     * Runs a completion request. If the connection of a stream is lost, the stream is resumed at the same event.
     *
     * @param run the request
     * @param listener receives the response
     * @return the call
     */
    public EngineCall run(EngineRun run, EngineListener listener) {
        StreamingCall call = new StreamingCall(this, run, listener);
        try {
            call.start(EngineBodies.request(run));
        } catch (EngineException e) {
            listener.failed(e);
        }
        return call;
    }

    /**
     * Requests the status.
     *
     * @return a future of the status, which fails with an {@link EngineException}, of kind {@code NOT_SENT} if the
     *     engine refuses connections
     */
    public CompletableFuture<EngineStatus> status() {
        return call(request("/v1/engine/status"), body -> {
            require(body.isObject(), "the status is not an object");
            return Codec.json().treeToValue(body, EngineStatus.class);
        });
    }

    /**
     * Requests the list of cache owners.
     *
     * @return a future of the number of cached tokens of each owner, which fails with an {@link EngineException}
     */
    public CompletableFuture<Map<String, Long>> cacheList() {
        return call(request("/v1/engine/cache"), body -> {
            require(body.isArray(), "the list of cache owners is not an array");
            Map<String, Long> owners = new HashMap<>();
            for (JsonNode entry : body) {
                owners.put(entry.path("owner").asText(), entry.path("tokens").asLong());
            }
            return owners;
        });
    }

    /**
     * Releases the cache of an owner.
     *
     * @param owner the owner
     * @return a future that completes when the engine has acknowledged, or fails with an {@link EngineException}
     */
    public CompletableFuture<Void> release(String owner) {
        return call(request("/v1/engine/cache/" + encode(owner)).method(HttpMethod.DELETE), body -> null);
    }

    /**
     * Moves the cache of an owner to host storage.
     *
     * @param owner the owner
     * @return a future that completes when the engine has acknowledged, or fails with an {@link EngineException}
     */
    public CompletableFuture<Void> exportCache(String owner) {
        return call(request("/v1/engine/cache/" + encode(owner) + "/export").method(HttpMethod.POST), body -> null);
    }

    /**
     * Moves the cache of an owner back from host storage.
     *
     * @param owner the owner
     * @return a future that completes when the engine has acknowledged, or fails with an {@link EngineException}
     */
    public CompletableFuture<Void> importCache(String owner) {
        return call(request("/v1/engine/cache/" + encode(owner) + "/import").method(HttpMethod.POST), body -> null);
    }

    /**
     * Sends an order unless this client has sent one with a higher fencing token. The client checks the token because
     * not every engine does.
     *
     * @param order the order
     * @return a future that completes when the engine has accepted, or fails with an {@link EngineException}, of kind
     *     {@code FENCED} if the token is lower than one sent before
     */
    public CompletableFuture<Void> order(EngineOrder order) {
        synchronized (fenceLock) {
            if (order.fence() < highestFence) {
                return CompletableFuture.failedFuture(new EngineException(
                        EngineException.Kind.FENCED,
                        "fencing token " + order.fence() + " is lower than " + highestFence
                                + ", the highest token sent",
                        null));
            }
            highestFence = order.fence();
            return call(
                    request("/v1/engine/orders")
                            .method(HttpMethod.POST)
                            .body(new BytesRequestContent("application/json", EngineBodies.order(order))),
                    body -> null);
        }
    }

    /** Cancels a stream, with a few retries. Status 404, which means that the stream is unknown, counts as success. */
    void cancel(RunId run) {
        cancel(run, CANCEL_ATTEMPTS);
    }

    Request request(String path) {
        return http.newRequest(target).path(basePath() + path);
    }

    void schedule(Runnable action, long delayMillis) {
        http.getScheduler().schedule(() -> http.getExecutor().execute(action), delayMillis, TimeUnit.MILLISECONDS);
    }

    EngineException toEngineException(String lostMessage, Throwable failure) {
        if (failure instanceof EngineException known) {
            return known;
        }
        if (failure instanceof TimeoutException) {
            return new EngineException(EngineException.Kind.TIMEOUT, "the request timed out", failure);
        }
        if (failure instanceof ConnectException) {
            return new EngineException(EngineException.Kind.NOT_SENT, "cannot connect to the engine", failure);
        }
        return new EngineException(EngineException.Kind.LOST, lostMessage, failure);
    }

    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private String basePath() {
        String path = target.getPath() == null ? "" : target.getPath();
        return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
    }

    private void cancel(RunId run, int attemptsLeft) {
        Request request = request("/v1/engine/streams/" + encode(run.value())).method(HttpMethod.DELETE);
        call(request, body -> null).whenComplete((done, failure) -> {
            boolean cancelled = failure == null || failure instanceof EngineException e && e.status() == NOT_FOUND;
            if (!cancelled && attemptsLeft > 1) {
                schedule(() -> cancel(run, attemptsLeft - 1), CANCEL_RETRY_MILLIS);
            } else if (!cancelled) {
                LOG.warnf("endpoint: Cannot cancel run %s on the engine: %s", run, failure.getMessage());
            }
        });
    }

    private interface ResponseParser<T> {
        T parse(JsonNode body) throws IOException;
    }

    /** Rejects, among others, an empty body, which is what an answer without a length has when it is cut. */
    private static void require(boolean valid, String message) throws IOException {
        if (!valid) {
            throw new IOException(message);
        }
    }

    private <T> CompletableFuture<T> call(Request request, ResponseParser<T> parser) {
        CompletableFuture<T> response = new CompletableFuture<>();
        request.timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        if (result.isFailed()) {
                            response.completeExceptionally(
                                    toEngineException("the connection to the engine was lost", result.getFailure()));
                        } else if (result.getResponse().getStatus() >= MIN_ERROR_STATUS) {
                            response.completeExceptionally(new EngineException(
                                    result.getResponse().getStatus(), "the engine rejected " + request));
                        } else {
                            parse(getContent());
                        }
                    }

                    private void parse(byte[] content) {
                        try {
                            response.complete(
                                    parser.parse(Codec.json().readTree(content == null ? new byte[0] : content)));
                        } catch (IOException e) {
                            response.completeExceptionally(new EngineException(
                                    EngineException.Kind.MALFORMED, "the response of the engine cannot be parsed", e));
                        }
                    }
                });
        return response;
    }
}
