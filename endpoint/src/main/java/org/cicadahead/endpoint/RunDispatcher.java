package org.cicadahead.endpoint;

import com.codahale.metrics.MetricRegistry;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadahead.crash.CrashAttribution;
import org.cicadahead.engine.EngineStatus;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.RunChunk;
import org.cicadahead.protocol.RunEnd;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;
import org.cicadahead.queue.AdmissionLimit;
import org.cicadahead.queue.OfferResult;
import org.cicadahead.queue.QueueLimits;
import org.cicadahead.queue.QueuedRun;
import org.cicadahead.queue.RunQueue;
import org.cicadahead.wire.Responder;

/**
 * Queues runs, starts their claims, passes them to the backend and replies to the entry. Thread-safe.
 *
 * <p>Lock order: the lock of this object, then the lock of the cache manager. Neither is held while the backend,
 * control or a responder is called.
 */
final class RunDispatcher {
    /** Maximum total size of the waiting request bodies, in bytes; the process has a heap of 32 MB. */
    private static final long MAX_QUEUED_BYTES = 6L * 1024 * 1024;
    /** Number of bytes queued for an entry above which reading from the engine pauses (backpressure). */
    private static final long MAX_UNSENT_BYTES = 256L * 1024;

    private static final long READ_PAUSE_MILLIS = 20;
    private static final int CHUNK_BYTES = 256 * 1024;
    private static final int SERVER_ERROR = 500;

    private final EndpointConfig config;
    private final MetricRegistry metrics;
    private final PoisonTableReplica poisonTable;
    private final Context context;
    private final RunQueue queue;
    private final AdmissionLimit admission;
    private final CrashAttribution crashes = new CrashAttribution();
    private final Map<RunId, RunTask> tasks = new HashMap<>();
    private long lastConnectionLossNanos = System.nanoTime();

    /** The parts of the node that the dispatcher uses. */
    interface Context {
        /** Returns the reason to refuse a new run, or empty to accept it. */
        Optional<RefusalReason> refusal(RunRequest request);

        Backend backend();

        ClaimClient claims();

        ScheduledExecutorService timer();

        void runStarted(RunTask task);

        void runEnded(RunTask task, Usage usage);

        void engineCrashed(CrashAttribution.Crash crash);

        void suspectCleared(RequestDigest digest);
    }

    RunDispatcher(EndpointConfig config, MetricRegistry metrics, PoisonTableReplica poisonTable, Context context) {
        this.config = config;
        this.metrics = metrics;
        this.poisonTable = poisonTable;
        this.context = context;
        this.queue = RunQueue.of(new QueueLimits(
                QueueLimits.DEFAULT_MAX_QUEUED, MAX_QUEUED_BYTES, config.capacity(), config.maxRunningTokens()));
        this.admission = AdmissionLimit.of(config.capacity());
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Queues a run, or replies with a refusal. */
    void accept(RunRequest request, Responder responder) {
        Optional<RefusalReason> refusal = context.refusal(request);
        if (refusal.isEmpty() && poisonTable.isRefused(request.digest())) {
            refusal = Optional.of(RefusalReason.REQUEST_POISONOUS);
        }
        RunTask task = new RunTask(request, responder, System.nanoTime());
        if (refusal.isPresent()) {
            refuse(task, refusal.get(), refusal.get().title());
            return;
        }
        OfferResult offer;
        synchronized (this) {
            if (tasks.containsKey(request.run())) {
                responder.reply(
                        refusalEnd(task, RefusalReason.INTERNAL_ERROR, false, "a run with this id is already open"));
                return;
            }
            long now = nowMillis();
            boolean exclusive = request.alone()
                    || poisonTable.isSuspect(request.digest())
                    || request.digest() != null && crashes.isSuspect(request.digest(), now);
            offer = queue.offer(toQueuedRun(task, exclusive, now), now);
            if (offer.refusal().isEmpty()) {
                tasks.put(request.run(), task);
            }
        }
        offer.evicted().forEach(run -> refuseQueued(run, RefusalReason.ENDPOINT_OVERLOADED));
        if (offer.refusal().isPresent()) {
            RefusalReason reason = offer.refusal().get();
            refuse(task, reason, reason.title());
            return;
        }
        responder.onCancel(() -> cancel(task));
        dispatchWaiting();
    }

    /** Dispatches waiting runs to the backend until a limit is reached. */
    void dispatchWaiting() {
        while (true) {
            RunTask task;
            synchronized (this) {
                if (crashes.isUncertain()) {
                    return;
                }
                queue.limitRunning(admission.limit(queue.running(), nowMillis()));
                Optional<QueuedRun> next = queue.poll(nowMillis());
                if (next.isEmpty()) {
                    return;
                }
                task = tasks.get(next.get().run());
                task.dispatched = true;
            }
            dispatch(task);
        }
    }

    /** Refuses waiting runs whose deadline has passed, or all waiting runs if the backend is not available. */
    void tick(boolean available) {
        List<QueuedRun> expired;
        synchronized (this) {
            expired = queue.expire(nowMillis());
        }
        expired.forEach(run -> refuseQueued(run, RefusalReason.DEADLINE_UNREACHABLE));
        if (!available) {
            refuseWaiting();
        }
        dispatchWaiting();
    }

    synchronized EndpointLoad load() {
        return new EndpointLoad(
                queue.queued(),
                queue.running(),
                queue.queuedTokens(),
                queue.runningTokens(),
                context.backend().cachedTokens(),
                config.capacity());
    }

    /** Returns the number of runs that have not ended. */
    synchronized int openRuns() {
        return tasks.size();
    }

    synchronized boolean isOpen(RunTask task) {
        return !task.ended;
    }

    void statusReceived(EngineStatus status, long requestedNanos) {
        Optional<CrashAttribution.Crash> crash;
        synchronized (this) {
            if (requestedNanos - lastConnectionLossNanos < 0) {
                // The engine may have sent this status before it crashed.
                return;
            }
            crash = crashes.instanceReported(status.instance(), nowMillis());
        }
        crash.ifPresent(context::engineCrashed);
        dispatchWaiting();
    }

    void unreachable() {
        Optional<CrashAttribution.Crash> crash;
        synchronized (this) {
            crash = crashes.unreachable(nowMillis());
        }
        crash.ifPresent(context::engineCrashed);
        dispatchWaiting();
    }

    /** Cancels all runs that have not ended by the timeout of the graceful shutdown. */
    void cancelAll() {
        List<RunTask> openTasks;
        synchronized (this) {
            openTasks = List.copyOf(tasks.values());
        }
        openTasks.forEach(this::cancel);
    }

    private ClaimCompletion claimCompletion() {
        return new ClaimCompletion(this, context.claims(), config.endpoint(), context.timer());
    }

    private QueuedRun toQueuedRun(RunTask task, boolean exclusive, long now) {
        RunRequest request = task.request;
        return new QueuedRun(
                request.run(),
                request.organisation(),
                request.weight() > 0 ? request.weight() : 1,
                request.attainedTokens(),
                request.policy(),
                exclusive,
                request.promptTokens() + request.maxTokens(),
                task.bodyBytes(),
                now,
                now + request.deadlineMillis());
    }

    private void cancel(RunTask task) {
        Runnable cancellation;
        boolean wasQueued;
        synchronized (this) {
            if (task.ended || task.cancelled) {
                return;
            }
            task.cancelled = true;
            wasQueued = queue.cancel(task.request.run());
            if (wasQueued) {
                task.ended = true;
                tasks.remove(task.request.run());
            }
            // A claimed run that was sent to its service is not cancelled, as only its outcome can close the claim.
            cancellation = task.isClaimed() ? null : task.cancellation;
        }
        metrics.counter("endpoint.runs.cancelled").inc();
        if (wasQueued) {
            task.responder.reply(refusalEnd(
                    task, RefusalReason.CALLER_GONE, true, "the run was cancelled while it waited in the queue"));
        } else if (cancellation != null) {
            cancelRunning(task, cancellation);
        }
    }

    private void cancelRunning(RunTask task, Runnable cancellation) {
        cancellation.run();
        synchronized (this) {
            crashes.withdrawn(task.request.run());
        }
        finish(task, null, refusalEnd(task, RefusalReason.CALLER_GONE, false, "the run was cancelled"));
    }

    private void dispatch(RunTask task) {
        if (!task.isClaimed()) {
            run(task);
            return;
        }
        claimCompletion().watchDeadline(task);
        context.claims()
                .start(task.request.claim(), task.request.run(), task.remainingMillis())
                .whenComplete((result, failure) ->
                        handleStartResult(task, failure == null ? result : ClaimClient.StartResult.ABANDONED));
    }

    private void handleStartResult(RunTask task, ClaimClient.StartResult result) {
        boolean cancelled;
        synchronized (this) {
            cancelled = task.cancelled;
        }
        if (result == ClaimClient.StartResult.FENCED) {
            finish(
                    task,
                    null,
                    refusalEnd(task, RefusalReason.CLAIM_FENCED, true, "control refused to start the claim"));
        } else if (result == ClaimClient.StartResult.ABANDONED) {
            finish(
                    task,
                    null,
                    refusalEnd(
                            task,
                            RefusalReason.CONTROL_UNAVAILABLE,
                            true,
                            "control did not confirm the start of the claim"));
        } else if (cancelled || task.remainingMillis() <= 0) {
            abandon(task, cancelled ? RefusalReason.CALLER_GONE : RefusalReason.DEADLINE_UNREACHABLE);
        } else {
            run(task);
        }
    }

    /** Abandons a started claim whose service was not called. Replies once control has acknowledged it. */
    private void abandon(RunTask task, RefusalReason reason) {
        context.claims()
                .abandon(task.request.claim(), task.request.run())
                .whenComplete((done, failure) ->
                        finish(task, null, refusalEnd(task, reason, true, "the run was not sent to the service")));
    }

    private void run(RunTask task) {
        RunRequest request = task.request;
        synchronized (this) {
            if (request.digest() != null) {
                crashes.started(request.run(), request.digest());
            }
        }
        task.sent = true;
        context.runStarted(task);
        task.lastDataNanos = System.nanoTime();
        metrics.counter("endpoint.runs").inc();
        Runnable cancellation = context.backend()
                .run(request, task.takeBody(), Math.max(1, task.remainingMillis()), new TaskSink(task));
        boolean cancelNow;
        synchronized (this) {
            task.cancellation = cancellation;
            cancelNow = task.cancelled && !task.ended && !task.isClaimed();
        }
        if (cancelNow) {
            cancelRunning(task, cancellation);
        }
    }

    private void refuseQueued(QueuedRun run, RefusalReason reason) {
        RunTask task;
        synchronized (this) {
            task = tasks.remove(run.run());
            if (task == null) {
                return;
            }
            task.ended = true;
        }
        refuse(task, reason, reason.title());
    }

    private void refuseWaiting() {
        List<RunTask> waiting;
        synchronized (this) {
            waiting = tasks.values().stream()
                    .filter(task -> !task.dispatched && queue.cancel(task.request.run()))
                    .toList();
            waiting.forEach(task -> {
                task.ended = true;
                tasks.remove(task.request.run());
            });
        }
        waiting.forEach(task -> refuse(task, RefusalReason.ENDPOINT_FAILED, "the engine or service does not respond"));
    }

    /** Refuses a run that was never sent to the backend. */
    private void refuse(RunTask task, RefusalReason reason, String detail) {
        task.responder.reply(refusalEnd(task, reason, true, detail));
    }

    /** Ends a dispatched run. Does nothing if it has already ended. */
    void finish(RunTask task, Usage usage, RunEnd end) {
        synchronized (this) {
            if (task.ended) {
                return;
            }
            task.ended = true;
            tasks.remove(task.request.run());
            queue.finished(task.request.run(), task.chargedTokens(usage), nowMillis());
        }
        if (task.sent) {
            context.runEnded(task, usage);
        }
        task.responder.reply(end);
        dispatchWaiting();
    }

    RunEnd refusalEnd(RunTask task, RefusalReason reason, boolean notRun, String detail) {
        metrics.counter("endpoint.refusals." + reason.code()).inc();
        return new RunEnd(task.request.run(), task.chunks, 0, "", reason, notRun, detail, null, load());
    }

    RunEnd responseEnd(RunTask task, int status, String contentType, Usage usage) {
        return new RunEnd(task.request.run(), task.chunks, status, contentType, null, false, "", usage, load());
    }

    /** Sends data to the entry in chunks that fit into a frame. */
    static void sendChunks(RunTask task, byte[] data) {
        for (int from = 0; from < data.length; from += CHUNK_BYTES) {
            int to = Math.min(data.length, from + CHUNK_BYTES);
            byte[] part = from == 0 && to == data.length ? data : Arrays.copyOfRange(data, from, to);
            task.responder.part(new RunChunk(task.request.run(), task.chunks++, part));
        }
    }

    /** Records that a run has ended on the backend. Returns the digest if it was suspect and is cleared by this run. */
    private Optional<RequestDigest> endedOnBackend(RunTask task, boolean completed) {
        synchronized (this) {
            RunId run = task.request.run();
            if (!completed) {
                crashes.withdrawn(run);
                return Optional.empty();
            }
            Optional<RequestDigest> cleared = crashes.completed(run);
            RequestDigest digest = task.request.digest();
            return cleared.isEmpty() && poisonTable.isSuspect(digest) ? Optional.of(digest) : cleared;
        }
    }

    private void connectionLost(RunTask task) {
        synchronized (this) {
            if (!config.kind().cachesPrefixes()) {
                crashes.withdrawn(task.request.run());
                return;
            }
            lastConnectionLossNanos = System.nanoTime();
            crashes.connectionLost(task.request.run());
        }
        context.backend().probe();
    }

    /** Receives the response of the backend to one run. */
    private final class TaskSink implements Backend.Sink {
        private final RunTask task;

        TaskSink(RunTask task) {
            this.task = task;
        }

        @Override
        public long data(byte[] data, int events) {
            long now = System.nanoTime();
            if (events > 0) {
                if (task.events > 0) {
                    observe(events, TimeUnit.NANOSECONDS.toMicros(now - task.lastDataNanos));
                }
                task.events += events;
                task.lastDataNanos = now;
            }
            if (task.isClaimed()) {
                task.recordData(data);
                return 0;
            }
            sendChunks(task, data);
            return task.responder.queuedBytes() > MAX_UNSENT_BYTES ? READ_PAUSE_MILLIS : 0;
        }

        @Override
        public void ended(int status, String contentType, Usage usage) {
            endedOnBackend(task, status < SERVER_ERROR).ifPresent(context::suspectCleared);
            String type = contentType == null ? "" : contentType;
            if (task.isClaimed()) {
                claimCompletion().completed(task, status, type, usage);
            } else if (status >= SERVER_ERROR && task.request.stream()) {
                finish(
                        task,
                        usage,
                        refusalEnd(
                                task,
                                RefusalReason.ENDPOINT_FAILED,
                                false,
                                "the engine responded with status " + status));
            } else {
                finish(task, usage, RunDispatcher.this.responseEnd(task, status, type, usage));
            }
        }

        @Override
        public void failed(Backend.Failure failure, String message) {
            if (failure == Backend.Failure.BROKEN) {
                connectionLost(task);
            } else {
                endedOnBackend(task, false);
            }
            if (task.isClaimed()) {
                claimCompletion().failed(task, failure, message);
                return;
            }
            RefusalReason reason = switch (failure) {
                case MALFORMED -> RefusalReason.REQUEST_MALFORMED;
                case TIMEOUT ->
                    task.remainingMillis() <= 0 ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.ENDPOINT_FAILED;
                default -> RefusalReason.ENDPOINT_FAILED;
            };
            boolean notRun = failure == Backend.Failure.NOT_SENT || failure == Backend.Failure.MALFORMED;
            finish(task, null, refusalEnd(task, reason, notRun, message));
        }

        private void observe(int events, long gapMicros) {
            synchronized (RunDispatcher.this) {
                admission.observe(events, gapMicros);
            }
        }
    }
}
