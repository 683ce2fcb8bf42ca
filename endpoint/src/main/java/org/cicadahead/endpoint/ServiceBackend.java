package org.cicadahead.endpoint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.service.ServiceCall;
import org.cicadahead.service.ServiceClient;
import org.cicadahead.service.ServiceException;
import org.jboss.logging.Logger;

/** Runs requests on a service. The service counts as available while it accepts TCP connections. */
final class ServiceBackend implements Backend {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int HTTP_PORT = 80;

    private final ServiceClient client;
    private final InetSocketAddress address;
    private final Executor workers;
    private final AtomicBoolean probing = new AtomicBoolean();
    private volatile boolean available;

    ServiceBackend(ServiceClient client, URI target, Executor workers) {
        this.client = client;
        this.address = new InetSocketAddress(target.getHost(), target.getPort() < 0 ? HTTP_PORT : target.getPort());
        this.workers = workers;
    }

    @Override
    public Runnable run(RunRequest request, byte[] body, long timeoutMillis, Sink sink) {
        ServiceCall call = new ServiceCall(request.method(), request.path(), request.headers(), body, timeoutMillis);
        client.call(call).whenComplete((response, failure) -> {
            if (failure == null) {
                if (response.body().length > 0) {
                    sink.data(response.body(), 0);
                }
                sink.ended(response.status(), response.contentType(), null);
            } else {
                boolean sent = !(failure instanceof ServiceException e) || e.mayHaveArrived();
                sink.failed(sent ? Failure.BROKEN : Failure.NOT_SENT, failure.getMessage());
            }
        });
        return () -> {};
    }

    @Override
    public boolean isAvailable() {
        return available;
    }

    @Override
    public long cachedTokens() {
        return 0;
    }

    @Override
    public void tick() {
        if (!probing.compareAndSet(false, true)) {
            return;
        }
        try {
            workers.execute(this::checkConnection);
        } catch (RejectedExecutionException e) {
            probing.set(false);
        }
    }

    @Override
    public void probe() {
        tick();
    }

    private void checkConnection() {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            available = true;
        } catch (IOException e) {
            if (available) {
                LOG.warnf("endpoint: The service at %s does not accept connections", address);
            }
            available = false;
        } finally {
            probing.set(false);
        }
    }
}
