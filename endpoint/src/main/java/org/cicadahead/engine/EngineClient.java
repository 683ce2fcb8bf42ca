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
 * Talks to one engine over HTTP. Safe for use by several threads; nothing here blocks.
 *
 * <p>The first use is {@link #to(HttpClient, URI)} and then {@link #run(EngineRun, EngineListener)}.
 */
public final class EngineClient {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final int CANCEL_ATTEMPTS = 4;
    private static final long CANCEL_RETRY_MILLIS = 200;
    private static final int NOT_FOUND = 404;
    private static final int FIRST_ERROR = 400;

    private final HttpClient http;
    private final URI target;
    private final Object fenceLock = new Object();
    private long highestFence;

    private EngineClient(HttpClient http, URI target) {
        this.http = Objects.requireNonNull(http, "The client must not be null");
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
     * Runs a completion request. A stream that breaks is resumed where it broke.
     *
     * @param run the request
     * @param listener takes the answer
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
     * Asks for the status.
     *
     * @return the status; fails with an {@link EngineException}, of kind {@code NOT_SENT} if the engine refuses
     *     connections
     */
    public CompletableFuture<EngineStatus> status() {
        return call(request("/v1/engine/status"), body -> Codec.json().treeToValue(body, EngineStatus.class));
    }

    /**
     * Asks for the owners of cache.
     *
     * @return the tokens of each owner; fails with an {@link EngineException}
     */
    public CompletableFuture<Map<String, Long>> cacheList() {
        return call(request("/v1/engine/cache"), body -> {
            Map<String, Long> owners = new HashMap<>();
            for (JsonNode line : body) {
                owners.put(line.path("owner").asText(), line.path("tokens").asLong());
            }
            return owners;
        });
    }

    /**
     * Releases the cache of an owner.
     *
     * @param owner the owner
     * @return completes when the engine has acknowledged; fails with an {@link EngineException}
     */
    public CompletableFuture<Void> release(String owner) {
        return call(request("/v1/engine/cache/" + encode(owner)).method(HttpMethod.DELETE), body -> null);
    }

    /**
     * Moves the cache of an owner to host storage.
     *
     * @param owner the owner
     * @return completes when the engine has acknowledged; fails with an {@link EngineException}
     */
    public CompletableFuture<Void> exportCache(String owner) {
        return call(request("/v1/engine/cache/" + encode(owner) + "/export").method(HttpMethod.POST), body -> null);
    }

    /**
     * Moves the cache of an owner back from host storage.
     *
     * @param owner the owner
     * @return completes when the engine has acknowledged; fails with an {@link EngineException}
     */
    public CompletableFuture<Void> importCache(String owner) {
        return call(request("/v1/engine/cache/" + encode(owner) + "/import").method(HttpMethod.POST), body -> null);
    }

    /**
     * Gives an order unless a higher fencing token was seen before, as not every engine checks the token.
     *
     * @param order the order
     * @return completes when the engine has accepted; fails with an {@link EngineException}, of kind {@code FENCED} if
     *     the token is old
     */
    public CompletableFuture<Void> order(EngineOrder order) {
        synchronized (fenceLock) {
            if (order.fence() < highestFence) {
                return CompletableFuture.failedFuture(new EngineException(
                        EngineException.Kind.FENCED,
                        "the order has token " + order.fence() + ", and " + highestFence + " was seen",
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

    /** Cancels a stream, with a few attempts; an engine that has no such stream has nothing to cancel. */
    void cancel(RunId run) {
        cancel(run, CANCEL_ATTEMPTS);
    }

    Request request(String path) {
        return http.newRequest(target).path(basePath() + path);
    }

    void later(Runnable action, long delayMillis) {
        http.getScheduler().schedule(() -> http.getExecutor().execute(action), delayMillis, TimeUnit.MILLISECONDS);
    }

    EngineException translate(String text, Throwable failure) {
        if (failure instanceof EngineException known) {
            return known;
        }
        if (failure instanceof TimeoutException) {
            return new EngineException(EngineException.Kind.TIMEOUT, "the deadline has passed", failure);
        }
        if (failure instanceof ConnectException) {
            return new EngineException(EngineException.Kind.NOT_SENT, "the engine is not reachable", failure);
        }
        return new EngineException(EngineException.Kind.LOST, text, failure);
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
            boolean gone = failure == null || failure instanceof EngineException e && e.status() == NOT_FOUND;
            if (!gone && attemptsLeft > 1) {
                later(() -> cancel(run, attemptsLeft - 1), CANCEL_RETRY_MILLIS);
            } else if (!gone) {
                LOG.warnf("endpoint: Cannot cancel run %s on the engine: %s", run, failure.getMessage());
            }
        });
    }

    private interface Reader<T> {
        T read(JsonNode body) throws IOException;
    }

    private <T> CompletableFuture<T> call(Request request, Reader<T> reader) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        request.timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        if (result.isFailed()) {
                            answer.completeExceptionally(translate("the connection was lost", result.getFailure()));
                        } else if (result.getResponse().getStatus() >= FIRST_ERROR) {
                            answer.completeExceptionally(new EngineException(
                                    result.getResponse().getStatus(), "the engine refused " + request));
                        } else {
                            parse(getContent());
                        }
                    }

                    private void parse(byte[] content) {
                        try {
                            answer.complete(
                                    reader.read(Codec.json().readTree(content == null ? new byte[0] : content)));
                        } catch (IOException e) {
                            answer.completeExceptionally(new EngineException(
                                    EngineException.Kind.MALFORMED, "the answer is not understood", e));
                        }
                    }
                });
        return answer;
    }
}
