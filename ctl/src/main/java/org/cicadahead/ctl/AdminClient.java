package org.cicadahead.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.Closeable;
import java.net.URI;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Calls the admin API of whichever replica leads control. For use by one thread.
 *
 * <p>A request is repeated at the next address after a failed connection, silence, a 503 or a 504, and at the
 * named address after a 307. All attempts carry the same {@code Request-Id}, so that an edit takes effect once.
 */
final class AdminClient implements Closeable {
    /** One attempt is given up after this time, in milliseconds, as its replica may be cut off. */
    private static final long ATTEMPT_MILLIS = 2_000;

    private static final long BACKOFF_MILLIS = 100;
    private static final int MAX_REDIRECTS = 4;
    private static final int MAX_THREADS = 8;
    private static final int REDIRECT = 307;
    /** 503 means that there is no leader; after 504 the edit may be committed, and a resend tells. */
    private static final Set<Integer> RETRIED = Set.of(REDIRECT, 503, 504);

    private final HttpClient http;
    private final CtlSettings settings;
    private final long timeoutMillis;
    private URI preferred;

    private AdminClient(HttpClient http, CtlSettings settings, long timeoutMillis) {
        this.http = http;
        this.settings = settings;
        this.timeoutMillis = timeoutMillis;
        this.preferred = settings.admin().get(0);
    }

    /**
     * Returns a started client.
     *
     * @param settings where control is
     * @param timeoutMillis how long one command may try, in milliseconds
     * @return the client
     * @throws CtlException if the client cannot start
     */
    static AdminClient start(CtlSettings settings, long timeoutMillis) throws CtlException {
        HttpClient http = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setDaemon(true);
        http.setExecutor(threads);
        http.setFollowRedirects(false);
        http.setConnectTimeout(ATTEMPT_MILLIS);
        try {
            http.start();
        } catch (Exception e) {
            throw new CtlException(ExitCode.UNREACHABLE, "The HTTP client cannot start", e);
        }
        return new AdminClient(http, settings, timeoutMillis);
    }

    /**
     * Sends a request until a leader answers.
     *
     * @param method the method
     * @param path the path from the root, encoded
     * @param headers more headers
     * @param body the body, or null
     * @return the answer, whatever its status
     * @throws CtlException if no leader answers in time
     */
    AdminReply call(HttpMethod method, String path, Map<String, String> headers, JsonNode body) throws CtlException {
        String requestId = UUID.randomUUID().toString();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        String lastFailure = "no answer";
        int next = settings.admin().indexOf(preferred);
        int redirects = 0;
        URI base = preferred;
        while (System.nanoTime() - deadlineNanos < 0) {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            try {
                ContentResponse response = request(base, method, path, headers, body)
                        .headers(fields -> fields.put("Request-Id", requestId))
                        .timeout(Math.max(1, Math.min(leftMillis, ATTEMPT_MILLIS)), TimeUnit.MILLISECONDS)
                        .send();
                if (response.getStatus() == REDIRECT && redirects < MAX_REDIRECTS) {
                    redirects++;
                    base = base.resolve(response.getHeaders().get(HttpHeader.LOCATION))
                            .resolve("/");
                    continue;
                }
                if (!RETRIED.contains(response.getStatus())) {
                    preferred = base;
                    return reply(response);
                }
                lastFailure = base + " answers with status " + response.getStatus();
            } catch (ExecutionException | TimeoutException e) {
                lastFailure = base + " does not answer";
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new CtlException(ExitCode.UNREACHABLE, "Interrupted", e);
            }
            redirects = 0;
            next = (next + 1) % settings.admin().size();
            base = settings.admin().get(next);
            pause(next == 0 ? BACKOFF_MILLIS : 1);
        }
        throw new CtlException(
                ExitCode.UNREACHABLE,
                "No leader of control answered within " + timeoutMillis + " ms: " + lastFailure,
                null);
    }

    /**
     * Reads a resource or a list.
     *
     * @param path the path from the root, encoded
     * @return the answer
     * @throws CtlException if no leader answers in time
     */
    AdminReply get(String path) throws CtlException {
        return call(HttpMethod.GET, path, Map.of(), null);
    }

    /** Closes all connections. */
    @Override
    public void close() {
        try {
            http.stop();
        } catch (Exception e) {
            System.getLogger("cicadahead.ctl").log(System.Logger.Level.DEBUG, "The HTTP client did not stop", e);
        }
    }

    private Request request(URI base, HttpMethod method, String path, Map<String, String> headers, JsonNode body) {
        Request request = http.newRequest(base.resolve(path)).method(method).headers(fields -> {
            fields.put(HttpHeader.AUTHORIZATION, "Bearer " + settings.token());
            headers.forEach(fields::put);
        });
        return body == null ? request : request.body(new StringRequestContent("application/json", body.toString()));
    }

    private static AdminReply reply(ContentResponse response) {
        String text = response.getContentAsString();
        JsonNode body = MissingNode.getInstance();
        try {
            if (text != null && !text.isBlank()) {
                body = Codec.json().readTree(text);
            }
        } catch (JsonProcessingException e) {
            body = TextNode.valueOf(text);
        }
        return new AdminReply(response.getStatus(), revision(response, body), body);
    }

    private static long revision(ContentResponse response, JsonNode body) {
        String tag = response.getHeaders().get(HttpHeader.ETAG);
        if (tag != null && tag.matches("\"?[0-9]{1,18}\"?")) {
            return Long.parseLong(tag.replace("\"", ""));
        }
        return body.path("revision").asLong(-1);
    }

    private static void pause(long millis) throws CtlException {
        try {
            new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CtlException(ExitCode.UNREACHABLE, "Interrupted", e);
        }
    }
}
