package org.cicadahead.testbed.soak;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cicadahead.platform.WireNames;
import org.cicadahead.testbed.fleet.FleetException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;

/** Plain calls of a soak. Safe for use by several threads. */
final class SoakHttp {
    /** How long a call may take, in milliseconds; longer than any time limit of the routes. */
    private static final long LIMIT_MILLIS = 5_000;

    private final HttpClient client = new HttpClient();

    /**
     * An answer; status 0 stands for none, or for one that broke off after the body given.
     *
     * @param begun the status of the head, also of an answer that broke off; 0 if there was none
     * @param leaving the name of the endpoint that states that it is leaving; empty if the answer does not state it
     */
    record Answer(int status, int begun, String body, boolean sealed, String leaving) {}

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
        StringBuffer received = new StringBuffer();
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        request.onResponseContent((response, content) -> received.append(StandardCharsets.UTF_8.decode(content)))
                .send(result -> answer.complete(new Answer(
                        result.isSucceeded() ? result.getResponse().getStatus() : 0,
                        result.getResponse() == null ? 0 : result.getResponse().getStatus(),
                        received.toString(),
                        result.isSucceeded()
                                && result.getResponse().getHeaders().contains(WireNames.SIGNATURE),
                        leaving(result.getResponse()))));
        return answer.join();
    }

    private static String leaving(Response response) {
        boolean stated =
                response != null && WireNames.YES.equals(response.getHeaders().get(WireNames.LEAVING));
        String name = stated ? response.getHeaders().get(SoakDeparture.NAME_HEADER) : null;
        return name == null ? "" : name;
    }
}
