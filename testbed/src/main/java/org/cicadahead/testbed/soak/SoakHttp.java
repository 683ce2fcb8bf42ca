package org.cicadahead.testbed.soak;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cicadahead.platform.WireNames;
import org.cicadahead.testbed.fleet.FleetException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;

/** Plain calls of a soak. Safe for use by several threads. */
final class SoakHttp {
    /** How long a call may take, in milliseconds; longer than any time limit of the routes. */
    private static final long LIMIT_MILLIS = 5_000;

    private final HttpClient client = new HttpClient();

    /** An answer; status 0 stands for none, also one that broke off. */
    record Answer(int status, String body, boolean sealed) {}

    static SoakHttp start() throws FleetException {
        SoakHttp http = new SoakHttp();
        http.client.setConnectTimeout(LIMIT_MILLIS / 5);
        try {
            http.client.start();
        } catch (Exception e) {
            throw new FleetException("the client cannot start", e);
        }
        return http;
    }

    Answer call(String method, String address, String path, Map<String, String> headers, String body) {
        Request request = client.newRequest(URI.create("http://" + address))
                .method(method)
                .path(path)
                .timeout(LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                .headers(fields -> {
                    fields.put(HttpHeader.HOST, "soak.example");
                    headers.forEach(fields::put);
                });
        if (!body.isEmpty()) {
            request.body(new BytesRequestContent("text/plain", body.getBytes(StandardCharsets.UTF_8)));
        }
        try {
            ContentResponse answer = request.send();
            return new Answer(
                    answer.getStatus(),
                    answer.getContentAsString(),
                    answer.getHeaders().contains(WireNames.SIGNATURE));
        } catch (ExecutionException | TimeoutException e) {
            return new Answer(0, String.valueOf(e.getMessage()), false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted", false);
        }
    }
}
