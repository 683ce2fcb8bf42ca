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
 * <p>An engine that refuses connections is unavailable at once. One that does not answer is unavailable after a while,
 * and runs that have made no progress for as long are given up.
 */
final class EngineBackend implements Backend {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    /** Silence after which the engine counts as hanging, in milliseconds. */
    private static final long HANG_MILLIS = 3_000;

    private final EngineClient client;
    private final StatusListener statusListener;
    private final MetricRegistry metrics;
    private final Set<EngineCall> calls = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean asking = new AtomicBoolean();
    private volatile boolean available;
    private volatile long lastAnswerNanos = System.nanoTime();
    private volatile long cachedTokens;
    private volatile boolean askAgain;

    /** Is told what the engine reports. */
    interface StatusListener {
        void statusSeen(EngineStatus status, long askedNanos);

        void unreachable();
    }

    EngineBackend(EngineClient client, StatusListener statusListener, MetricRegistry metrics) {
        this.client = client;
        this.statusListener = statusListener;
        this.metrics = metrics;
    }

    @Override
    public Runnable run(RunRequest request, byte[] body, long leftMillis, Sink sink) {
        String owner = request.program() == null ? null : request.program().toString();
        EngineRun run = new EngineRun(request.run(), owner, body, request.stream(), leftMillis);
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
        long silentSince = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(HANG_MILLIS);
        if (lastAnswerNanos - silentSince < 0) {
            if (available) {
                LOG.warnf("endpoint: The engine has not answered for %d ms", (Object) HANG_MILLIS);
            }
            available = false;
            for (EngineCall call : calls) {
                if (call.lastProgressNanos() - silentSince < 0) {
                    call.abort("the engine does not respond");
                }
            }
        }
    }

    @Override
    public void probe() {
        if (!asking.compareAndSet(false, true)) {
            askAgain = true;
            return;
        }
        askAgain = false;
        long askedNanos = System.nanoTime();
        client.status().whenComplete((status, failure) -> {
            if (failure == null) {
                lastAnswerNanos = System.nanoTime();
                available = true;
                cachedTokens = status.cachedTokens();
                statusListener.statusSeen(status, askedNanos);
            } else if (failure instanceof EngineException e && e.kind() == EngineException.Kind.NOT_SENT) {
                available = false;
                statusListener.unreachable();
            }
            asking.set(false);
            if (askAgain) {
                probe();
            }
        });
    }

    private final class Listener implements EngineListener {
        private final Sink sink;
        private EngineCall call;
        private boolean over;

        Listener(Sink sink) {
            this.sink = sink;
        }

        synchronized void track(EngineCall started) {
            call = started;
            if (!over) {
                calls.add(started);
            }
        }

        private synchronized void untrack() {
            over = true;
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
