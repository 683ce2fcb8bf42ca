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
 * Calls the admin API of the control leader. Not thread-safe.
 *
 * <p>A request is retried at the next address after a failed connection, a timeout, a 503 or a 504, and at the address
 * in the {@code Location} header after a 307. All attempts carry the same {@code Request-Id}, which makes an edit
 * idempotent.
 */
final class AdminClient implements Closeable {
    /** The timeout of one attempt, in milliseconds. It allows a retry elsewhere if the replica is partitioned. */
    private static final long ATTEMPT_MILLIS = 2_000;

    private static final long BACKOFF_MILLIS = 100;
    private static final int MAX_REDIRECTS = 4;
    private static final int MAX_THREADS = 8;
    private static final int TEMPORARY_REDIRECT = 307;
    /**
     * The statuses that cause a retry. 503 means that there is no leader. 504 means that the edit may or may not be
     * committed; a retry with the same request id returns its outcome.
     */
    private static final Set<Integer> RETRIED = Set.of(TEMPORARY_REDIRECT, 503, 504);

    private final HttpClient http;
    private final CtlSettings settings;
    private final long timeoutMillis;
    private URI preferredAddress;

    private AdminClient(HttpClient http, CtlSettings settings, long timeoutMillis) {
        this.http = http;
        this.settings = settings;
        this.timeoutMillis = timeoutMillis;
        this.preferredAddress = settings.admin().get(0);
    }

    /**
     * Returns a started client.
     *
     * @param settings the admin addresses and the token
     * @param timeoutMillis the timeout of one call including retries, in milliseconds
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
            throw new CtlException(ExitCode.UNREACHABLE, "Cannot start the HTTP client", e);
        }
        return new AdminClient(http, settings, timeoutMillis);
    }

    /**
     * Sends a request and retries it until a leader responds.
     *
     * @param method the HTTP method
     * @param path the absolute path, percent-encoded
     * @param headers additional headers
     * @param body the JSON body, or null
     * @return the response, whatever its status
     * @throws CtlException if no leader responds before the timeout
     */
    AdminReply call(HttpMethod method, String path, Map<String, String> headers, JsonNode body) throws CtlException {
        String requestId = UUID.randomUUID().toString();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        String lastFailure = "no attempt completed";
        int nextIndex = settings.admin().indexOf(preferredAddress);
        int redirects = 0;
        URI baseAddress = preferredAddress;
        while (System.nanoTime() - deadlineNanos < 0) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            try {
                ContentResponse response = newRequest(baseAddress, method, path, headers, body)
                        .headers(fields -> fields.put("Request-Id", requestId))
                        .timeout(Math.max(1, Math.min(remainingMillis, ATTEMPT_MILLIS)), TimeUnit.MILLISECONDS)
                        .send();
                if (response.getStatus() == TEMPORARY_REDIRECT && redirects < MAX_REDIRECTS) {
                    redirects++;
                    baseAddress = baseAddress
                            .resolve(response.getHeaders().get(HttpHeader.LOCATION))
                            .resolve("/");
                    continue;
                }
                if (!RETRIED.contains(response.getStatus())) {
                    preferredAddress = baseAddress;
                    return parseReply(response);
                }
                lastFailure = baseAddress + " returned status " + response.getStatus();
            } catch (ExecutionException | TimeoutException e) {
                lastFailure = baseAddress + " did not respond";
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new CtlException(ExitCode.UNREACHABLE, "Interrupted", e);
            }
            redirects = 0;
            nextIndex = (nextIndex + 1) % settings.admin().size();
            baseAddress = settings.admin().get(nextIndex);
            pause(nextIndex == 0 ? BACKOFF_MILLIS : 1);
        }
        throw new CtlException(
                ExitCode.UNREACHABLE,
                "No control leader responded within " + timeoutMillis + " ms: " + lastFailure,
                null);
    }

    /**
     * Reads a resource or a list.
     *
     * @param path the absolute path, percent-encoded
     * @return the response
     * @throws CtlException if no leader responds before the timeout
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
            System.getLogger("cicadahead.ctl").log(System.Logger.Level.DEBUG, "Cannot stop the HTTP client", e);
        }
    }

    private Request newRequest(
            URI baseAddress, HttpMethod method, String path, Map<String, String> headers, JsonNode body) {
        Request request = http.newRequest(baseAddress.resolve(path))
                .method(method)
                .headers(fields -> {
                    fields.put(HttpHeader.AUTHORIZATION, "Bearer " + settings.token());
                    headers.forEach(fields::put);
                });
        return body == null ? request : request.body(new StringRequestContent("application/json", body.toString()));
    }

    private static AdminReply parseReply(ContentResponse response) {
        String text = response.getContentAsString();
        JsonNode body = MissingNode.getInstance();
        try {
            if (text != null && !text.isBlank()) {
                body = Codec.json().readTree(text);
            }
        } catch (JsonProcessingException e) {
            body = TextNode.valueOf(text);
        }
        return new AdminReply(response.getStatus(), parseRevision(response, body), body);
    }

    private static long parseRevision(ContentResponse response, JsonNode body) {
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
