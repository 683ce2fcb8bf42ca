package org.cicadahead.endpoint;

import com.codahale.metrics.MetricRegistry;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadahead.engine.EngineCall;
import org.cicadahead.engine.EngineClient;
import org.cicadahead.engine.EngineException;
import org.cicadahead.engine.EngineListener;
import org.cicadahead.engine.EngineRun;
import org.cicadahead.engine.EngineStatus;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;
import org.jboss.logging.Logger;

/**
 * Runs requests on a model engine and polls its status.
 *
 * <p>An engine that refuses connections becomes unavailable immediately. An engine that does not respond becomes
 * unavailable after a timeout, and runs without progress during that time are aborted.
 */
final class EngineBackend implements Backend {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    /** Time without a response after which the engine counts as hanging, in milliseconds. */
    private static final long HANG_TIMEOUT_MILLIS = 3_000;

    private final EngineClient client;
    private final StatusListener statusListener;
    private final MetricRegistry metrics;
    private final Set<EngineCall> calls = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean statusPending = new AtomicBoolean();
    private volatile boolean available;
    private volatile long lastResponseNanos = System.nanoTime();
    private volatile long cachedTokens;
    private volatile boolean probeAgain;

    /** Receives the status reports of the engine. */
    interface StatusListener {
        void statusReceived(EngineStatus status, long requestedNanos);

        /** Called when the engine refuses connections. */
        void unreachable();
    }

    EngineBackend(EngineClient client, StatusListener statusListener, MetricRegistry metrics) {
        this.client = client;
        this.statusListener = statusListener;
        this.metrics = metrics;
    }

    @Override
    public Runnable run(RunRequest request, byte[] body, long timeoutMillis, Sink sink) {
        String owner = request.program() == null ? null : request.program().toString();
        EngineRun run = new EngineRun(request.run(), owner, body, request.stream(), timeoutMillis);
        Listener listener = new Listener(sink);
        EngineCall call = client.run(run, listener);
        listener.track(call);
        return () -> {
            calls.remove(call);
            call.cancel();
        };
    }

    @Override
    public boolean isAvailable() {
        return available;
    }

    @Override
    public long cachedTokens() {
        return cachedTokens;
    }

    @Override
    public void tick() {
        probe();
        long hangThresholdNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(HANG_TIMEOUT_MILLIS);
        if (lastResponseNanos - hangThresholdNanos < 0) {
            if (available) {
                LOG.warnf("endpoint: The engine has not responded for %d ms", (Object) HANG_TIMEOUT_MILLIS);
            }
            available = false;
            for (EngineCall call : calls) {
                if (call.lastProgressNanos() - hangThresholdNanos < 0) {
                    call.abort("the engine does not respond");
                }
            }
        }
    }

    @Override
    public void probe() {
        if (!statusPending.compareAndSet(false, true)) {
            probeAgain = true;
            return;
        }
        probeAgain = false;
        long requestedNanos = System.nanoTime();
        client.status().whenComplete((status, failure) -> {
            if (failure == null) {
                lastResponseNanos = System.nanoTime();
                available = true;
                cachedTokens = status.cachedTokens();
                statusListener.statusReceived(status, requestedNanos);
            } else if (failure instanceof EngineException e && e.kind() == EngineException.Kind.NOT_SENT) {
                available = false;
                statusListener.unreachable();
            }
            statusPending.set(false);
            if (probeAgain) {
                probe();
            }
        });
    }

    private final class Listener implements EngineListener {
        private final Sink sink;
        private EngineCall call;
        private boolean finished;

        Listener(Sink sink) {
            this.sink = sink;
        }

        synchronized void track(EngineCall started) {
            call = started;
            if (!finished) {
                calls.add(started);
            }
        }

        private synchronized void untrack() {
            finished = true;
            if (call != null) {
                calls.remove(call);
            }
        }

        @Override
        public long data(byte[] data, int events) {
            return sink.data(data, events);
        }

        @Override
        public void ended(int status, String contentType, Usage usage) {
            untrack();
            sink.ended(status, contentType, usage);
        }

        @Override
        public void failed(EngineException cause) {
            untrack();
            Failure failure = switch (cause.kind()) {
                case NOT_SENT -> Failure.NOT_SENT;
                case INVALID -> Failure.MALFORMED;
                case TIMEOUT -> Failure.TIMEOUT;
                default -> Failure.BROKEN;
            };
            sink.failed(failure, cause.getMessage());
        }

        @Override
        public void resumed() {
            metrics.counter("endpoint.engine.resumes").inc();
        }
    }
}
