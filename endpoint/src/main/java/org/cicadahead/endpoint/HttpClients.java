package org.cicadahead.endpoint;

import org.cicadahead.node.NodeException;
import org.cicadahead.wire.ResetReportingConnector;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates HTTP clients that send requests unmodified, with few threads and small buffers. */
final class HttpClients {
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFER_BYTES = 64 * 1024;
    private static final int MAX_POOLED_BUFFERS = 64;
    private static final long MAX_POOLED_BYTES = 2L * 1024 * 1024;
    /** The maximum size of the status line and headers of a response, in bytes; Jetty sets no limit by default. */
    private static final int MAX_RESPONSE_HEADER_BYTES = 32 * 1024;

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private HttpClients() {}

    /** Returns a started client that follows no redirects and adds only the mandatory headers. */
    static HttpClient start(String name) throws NodeException {
        ClientConnector connector = new ResetReportingConnector();
        connector.setSelectors(1);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setByteBufferPool(new ArrayByteBufferPool(
                0, 4_096, MAX_POOLED_BUFFER_BYTES, MAX_POOLED_BUFFERS, MAX_POOLED_BYTES, MAX_POOLED_BYTES));
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setRequestBufferSize(BUFFER_BYTES);
        client.setResponseBufferSize(BUFFER_BYTES);
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(0);
        try {
            client.start();
        } catch (Exception e) {
            throw new NodeException("cannot start the HTTP client", e);
        }
        client.getProtocolHandlers().clear();
        client.getContentDecoderFactories().clear();
        return client;
    }
}
