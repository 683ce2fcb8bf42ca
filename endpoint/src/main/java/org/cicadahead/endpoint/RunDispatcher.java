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
 * Takes runs through the queue, the claim, the backend and back to the entry. Safe for use by several threads.
 *
 * <p>Lock order: the lock of this object, then the lock of the cache keeper. Neither is held while the backend, control
 * or a responder is called.
 */
final class RunDispatcher {
    /** Bytes of request bodies that may wait; the process has a heap of 32 MB. */
    private static final long MAX_QUEUED_BYTES = 6L * 1024 * 1024;
    /** Bytes that may wait for an entry before reading from the engine pauses. */
    private static final long MAX_UNSENT_BYTES = 256L * 1024;

    private static final long READ_PAUSE_MILLIS = 20;
    private static final int CHUNK_BYTES = 256 * 1024;
    private static final int SERVER_ERROR = 500;

    private final EndpointConfig config;
    private final MetricRegistry metrics;
    private final PoisonTableReplica poison;
    private final Context context;
    private final RunQueue queue;
    private final AdmissionLimit admission;
    private final CrashAttribution crashes = new CrashAttribution();
    private final Map<RunId, RunTask> tasks = new HashMap<>();
    private long lastBrokenNanos = System.nanoTime();

    /** What the run flow needs of its node. */
    interface Context {
        /** Returns why no new run is taken, or empty. */
        Optional<RefusalReason> refusal(RunRequest request);

        Backend backend();

        ClaimClient claims();

        ScheduledExecutorService timer();

        void runStarted(RunTask task);

        void runEnded(RunTask task, Usage usage);

        void crashed(CrashAttribution.Crash crash);

        void cleared(RequestDigest digest);
    }

    RunDispatcher(EndpointConfig config, MetricRegistry metrics, PoisonTableReplica poison, Context context) {
        this.config = config;
        this.metrics = metrics;
        this.poison = poison;
        this.context = context;
        this.queue = RunQueue.of(new QueueLimits(
                QueueLimits.DEFAULT_MAX_QUEUED, MAX_QUEUED_BYTES, config.capacity(), config.maxRunningTokens()));
        this.admission = AdmissionLimit.of(config.capacity());
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    void accept(RunRequest request, Responder responder) {
        Optional<RefusalReason> refusal = context.refusal(request);
        if (refusal.isEmpty() && poison.isRefused(request.digest())) {
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
                responder.reply(end(task, RefusalReason.INTERNAL_ERROR, false, "the run is already here"));
                return;
            }
            long now = nowMillis();
            boolean alone = request.alone()
                    || poison.isSuspect(request.digest())
                    || request.digest() != null && crashes.isSuspect(request.digest(), now);
            offer = queue.offer(queued(task, alone, now), now);
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
        pump();
    }

    /** Sends as many waiting runs to the backend as it may have. */
    void pump() {
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

    /** Refuses waiting runs whose deadline has passed, and all while the backend does not answer. */
    void tick(boolean available) {
        List<QueuedRun> expired;
        synchronized (this) {
            expired = queue.expire(nowMillis());
        }
        expired.forEach(run -> refuseQueued(run, RefusalReason.DEADLINE_UNREACHABLE));
        if (!available) {
            refuseWaiting();
        }
        pump();
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

    /** Returns how many runs are not over. */
    synchronized int open() {
        return tasks.size();
    }

    synchronized boolean isOpen(RunTask task) {
        return !task.ended;
    }

    void statusSeen(EngineStatus status, long askedNanos) {
        Optional<CrashAttribution.Crash> crash;
        synchronized (this) {
            if (askedNanos - lastBrokenNanos < 0) {
                return;
            }
            crash = crashes.instanceReported(status.instance(), nowMillis());
        }
        crash.ifPresent(context::crashed);
        pump();
    }

    void unreachable() {
        Optional<CrashAttribution.Crash> crash;
        synchronized (this) {
            crash = crashes.unreachable(nowMillis());
        }
        crash.ifPresent(context::crashed);
        pump();
    }

    /** Cuts off what has not ended, as the time for a graceful shutdown is up. */
    void cancelAll() {
        List<RunTask> left;
        synchronized (this) {
            left = List.copyOf(tasks.values());
        }
        left.forEach(this::cancel);
    }

    private ClaimCompletion claimEnd() {
        return new ClaimCompletion(this, context.claims(), config.endpoint(), context.timer());
    }

    private QueuedRun queued(RunTask task, boolean alone, long now) {
        RunRequest request = task.request;
        return new QueuedRun(
                request.run(),
                request.organisation(),
                request.weight() > 0 ? request.weight() : 1,
                request.attainedTokens(),
                request.policy(),
                alone,
                request.promptTokens() + request.maxTokens(),
                task.bodyBytes(),
                now,
                now + request.deadlineMillis());
    }

    private void cancel(RunTask task) {
        Runnable cancellation;
        boolean neverRan;
        synchronized (this) {
            if (task.ended || task.cancelled) {
                return;
            }
            task.cancelled = true;
            neverRan = queue.cancel(task.request.run());
            if (neverRan) {
                task.ended = true;
                tasks.remove(task.request.run());
            }
            // A claimed run that is with its service goes on, as only its outcome can close the claim.
            cancellation = task.isClaimed() ? null : task.cancellation;
        }
        metrics.counter("endpoint.runs.cancelled").inc();
        if (neverRan) {
            task.responder.reply(end(task, RefusalReason.CALLER_GONE, true, "cancelled while it waited"));
        } else if (cancellation != null) {
            cancelRunning(task, cancellation);
        }
    }

    private void cancelRunning(RunTask task, Runnable cancellation) {
        cancellation.run();
        synchronized (this) {
            crashes.withdrawn(task.request.run());
        }
        finish(task, null, end(task, RefusalReason.CALLER_GONE, false, "cancelled"));
    }

    private void dispatch(RunTask task) {
        if (!task.isClaimed()) {
            run(task);
            return;
        }
        claimEnd().watchDeadline(task);
        context.claims()
                .start(task.request.claim(), task.request.run(), task.leftMillis())
                .whenComplete((start, failure) -> started(task, failure == null ? start : ClaimClient.StartResult.ABANDONED));
    }

    private void started(RunTask task, ClaimClient.StartResult start) {
        boolean cancelled;
        synchronized (this) {
            cancelled = task.cancelled;
        }
        if (start == ClaimClient.StartResult.FENCED) {
            finish(task, null, end(task, RefusalReason.CLAIM_FENCED, true, "control refused to start the claim"));
        } else if (start == ClaimClient.StartResult.ABANDONED) {
            finish(task, null, end(task, RefusalReason.CONTROL_UNAVAILABLE, true, "control did not start the claim"));
        } else if (cancelled || task.leftMillis() <= 0) {
            abandon(task, cancelled ? RefusalReason.CALLER_GONE : RefusalReason.DEADLINE_UNREACHABLE);
        } else {
            run(task);
        }
    }

    /** Closes a started claim whose service certainly was not called; says so only once control has recorded it. */
    private void abandon(RunTask task, RefusalReason reason) {
        context.claims()
                .abandon(task.request.claim(), task.request.run())
                .whenComplete((done, failure) -> finish(task, null, end(task, reason, true, "not run")));
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
        Runnable cancellation =
                context.backend().run(request, task.takeBody(), Math.max(1, task.leftMillis()), new TaskSink(task));
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
        waiting.forEach(task -> refuse(task, RefusalReason.ENDPOINT_FAILED, "the endpoint does not answer"));
    }

    /** Refuses a run that was never sent to the backend. */
    private void refuse(RunTask task, RefusalReason reason, String detail) {
        task.responder.reply(end(task, reason, true, detail));
    }

    /** Ends a dispatched run; the later of two ends is ignored. */
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
        pump();
    }

    RunEnd end(RunTask task, RefusalReason reason, boolean notRun, String detail) {
        metrics.counter("endpoint.refusals." + reason.code()).inc();
        return new RunEnd(task.request.run(), task.chunks, 0, "", reason, notRun, detail, null, load());
    }

    RunEnd answered(RunTask task, int status, String contentType, Usage usage) {
        return new RunEnd(task.request.run(), task.chunks, status, contentType, null, false, "", usage, load());
    }

    /** Sends an answer on in chunks that fit into a frame. */
    static void send(RunTask task, byte[] data) {
        for (int from = 0; from < data.length; from += CHUNK_BYTES) {
            int to = Math.min(data.length, from + CHUNK_BYTES);
            byte[] part = from == 0 && to == data.length ? data : Arrays.copyOfRange(data, from, to);
            task.responder.part(new RunChunk(task.request.run(), task.chunks++, part));
        }
    }

    /** Notes that a run is no longer with the backend; returns its digest if it was suspected and has completed. */
    private Optional<RequestDigest> over(RunTask task, boolean completed) {
        synchronized (this) {
            RunId run = task.request.run();
            if (!completed) {
                crashes.withdrawn(run);
                return Optional.empty();
            }
            Optional<RequestDigest> cleared = crashes.completed(run);
            RequestDigest digest = task.request.digest();
            return cleared.isEmpty() && poison.isSuspect(digest) ? Optional.of(digest) : cleared;
        }
    }

    private void broke(RunTask task) {
        synchronized (this) {
            if (!config.kind().cachesPrefixes()) {
                crashes.withdrawn(task.request.run());
                return;
            }
            lastBrokenNanos = System.nanoTime();
            crashes.connectionLost(task.request.run());
        }
        context.backend().probe();
    }

    /** Takes the answer of the backend to one run. */
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
                task.record(data);
                return 0;
            }
            send(task, data);
            return task.responder.queuedBytes() > MAX_UNSENT_BYTES ? READ_PAUSE_MILLIS : 0;
        }

        @Override
        public void ended(int status, String contentType, Usage usage) {
            over(task, status < SERVER_ERROR).ifPresent(context::cleared);
            String type = contentType == null ? "" : contentType;
            if (task.isClaimed()) {
                claimEnd().answered(task, status, type, usage);
            } else if (status >= SERVER_ERROR && task.request.stream()) {
                finish(task, usage, end(task, RefusalReason.ENDPOINT_FAILED, false, "the engine answered " + status));
            } else {
                finish(task, usage, RunDispatcher.this.answered(task, status, type, usage));
            }
        }

        @Override
        public void failed(Backend.Failure failure, String text) {
            if (failure == Backend.Failure.BROKEN) {
                broke(task);
            } else {
                over(task, false);
            }
            if (task.isClaimed()) {
                claimEnd().failed(task, failure, text);
                return;
            }
            RefusalReason reason = switch (failure) {
                case MALFORMED -> RefusalReason.REQUEST_MALFORMED;
                case TIMEOUT ->
                    task.leftMillis() <= 0 ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.ENDPOINT_FAILED;
                default -> RefusalReason.ENDPOINT_FAILED;
            };
            boolean notRun = failure == Backend.Failure.NOT_SENT || failure == Backend.Failure.MALFORMED;
            finish(task, null, end(task, reason, notRun, text));
        }

        private void observe(int events, long micros) {
            synchronized (RunDispatcher.this) {
                admission.observe(events, micros);
            }
        }
    }
}
