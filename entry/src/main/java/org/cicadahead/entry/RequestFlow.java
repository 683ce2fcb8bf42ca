package org.cicadahead.entry;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.cicadahead.admission.AdmissionDecision;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.caller.CallerResponse;
import org.cicadahead.caller.Refusal;
import org.cicadahead.caller.RefusalException;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.ClaimOutcome;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.Outcome;
import org.cicadahead.protocol.PoisonEntry;
import org.cicadahead.protocol.Refused;
import org.cicadahead.protocol.RunEnd;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.StepOutcome;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.wire.PeerClient;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/**
 * Processes one request: admission, step, claim, run, recording. All methods except {@code start}, {@code recheck} and
 * {@code abort} run on one serial executor. {@link ExecutionTracker} documents at which stage a request may have run.
 */
final class RequestFlow implements EndpointRun.RunListener {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");
    /** Interval in milliseconds at which a claim held by another attempt is looked up and an empty pool is retried. */
    private static final long POLL_MILLIS = 100;
    /** Maximum time that a request waits for an endpoint of an empty pool, in milliseconds. */
    private static final long ENDPOINT_WAIT_MILLIS = 1_000;

    private final EntryContext context;
    private final CallerRequest request;
    private final CallerResponse response;
    private final SerialExecutor serial;
    private final ExecutionTracker execution = new ExecutionTracker();
    private final RetryPolicy retryPolicy = new RetryPolicy();
    private RequestTarget target;
    private RequestPayload payload;
    private StepSession step;
    private ClaimSession claim;
    private RequestPayload.EndpointCall call;
    private RunTemplate template;
    private EndpointRun run;
    private EndpointId servedBy;
    /** The failure of the last run, if another endpoint is tried. */
    private EndpointRun.Failure retryCause;
    /** The failure after which a claimed request is not retried, while its outcome is looked up at control. */
    private EndpointRun.Failure finalFailure;

    private long startedMillis;
    private long endpointWaitMillis;
    private Future<?> deadline;
    private CompletableFuture<AdmissionDecision> admission;
    private boolean finishPending;
    private boolean ended;

    RequestFlow(EntryContext context, CallerRequest request, CallerResponse response) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.serial = new SerialExecutor(context.workers());
    }

    /** Starts the request. */
    void start() {
        context.flows().add(this);
        response.onDisconnect(() -> enqueue(() -> fail(RefusalReason.CALLER_GONE, "")));
        enqueue(this::begin);
    }

    /** Refuses a request with a key if the key was revoked or the lease has expired. Called after either may change. */
    void recheck() {
        enqueue(() -> {
            if (target == null || target.key() == null) {
                return;
            }
            if (context.replica().key(target.key()).isEmpty()) {
                fail(RefusalReason.KEY_REVOKED, "");
            } else if (!context.isLeased()) {
                fail(RefusalReason.CONFIGURATION_LEASE_EXPIRED, "");
            }
        });
    }

    /** Refuses the request because the entry shuts down. */
    void abort() {
        enqueue(() -> fail(RefusalReason.SHUTTING_DOWN, "The time to finish has passed"));
    }

    @Override
    public void relay(byte[] events) {
        if (!response.stream(headers(), events)) {
            fail(RefusalReason.CALLER_TOO_SLOW, "");
        }
    }

    @Override
    public void completed(RunEnd end, RecordedResponse recorded) {
        execution.attemptUncertain();
        long used = template.usedTokens(end.usage(), run.responseBytes());
        context.endpoints().report(run.endpoint(), end.load());
        context.endpoints().completed(run.endpoint(), template.program(), template.root(), used);
        recordAndDeliver(used, recorded.withPlacement(Placement.of(run.endpoint(), end.usage(), retryPolicy.failed())));
    }

    @Override
    public void failed(EndpointRun.Failure failure) {
        EndpointId endpoint = run.endpoint();
        if (failure.notRun()) {
            execution.attemptNotRun();
        } else {
            execution.attemptUncertain();
        }
        context.endpoints().failed(endpoint, failure.reason());
        run = null;
        if (claim != null) {
            resolveClaim(failure, endpoint);
        } else if (mayRetry(failure, endpoint)) {
            context.counters().retried(failure.reason());
            retryCause = failure;
            dispatch();
        } else {
            fail(failure.reason(), failure.detail());
        }
    }

    private void begin() {
        startedMillis = context.nowMillis();
        try {
            if (context.isShuttingDown()) {
                throw new RefusalException(RefusalReason.SHUTTING_DOWN, "");
            }
            if (!context.isLeased()) {
                throw new RefusalException(RefusalReason.CONFIGURATION_LEASE_EXPIRED, "");
            }
            ResolvedRequest resolved = ResolvedRequest.of(context.replica(), request);
            target = resolved.target();
            payload = resolved.payload();
        } catch (RefusalException e) {
            markEnded();
            response.refuse(e.refusal());
            return;
        }
        context.endpoints().countRequest();
        claim = target.route().repeatable() ? null : new ClaimSession(context, request, target, payload);
        step = request.program() == null ? null : new StepSession(context, request, target);
        deadline = context.schedule(
                target.route().deadlineMillis(), serial, failOnError(() -> fail(RefusalReason.DEADLINE_EXCEEDED, "")));
        if (target.limits() == null) {
            onAdmissionDecision(new AdmissionDecision(0, Optional.empty(), 0));
        } else {
            admission = context.admission().request(target.limits());
            whenDone(admission, this::onAdmissionDecision);
        }
    }

    private void onAdmissionDecision(AdmissionDecision decision) {
        if (ended) {
            return;
        }
        if (decision.refusal().isPresent()) {
            RefusalReason reason = decision.refusal().get();
            long seconds = Math.max(reason.retryAfterSeconds(), (decision.retryAfterMillis() + 999) / 1_000);
            refuse(new Refusal(reason, execution.isNotRun(), "", seconds));
        } else if (step == null) {
            prepareRun();
        } else {
            whenDone(step.begin(payload), this::onStepReply);
        }
    }

    private void onStepReply(Message message) {
        if (!(message instanceof StepReply reply)) {
            onControlRefusal(message);
            return;
        }
        Optional<HistoryRecord> replayed = StepSession.replayed(reply);
        if (replayed.isPresent()) {
            replay(replayed.get());
        } else if (reply.outcome() != StepOutcome.GRANTED) {
            RefusalReason reason = reply.outcome().refusal().orElse(RefusalReason.INTERNAL_ERROR);
            fail(reason, "The next step is " + reply.expectedStep());
        } else {
            step.granted(reply, () -> enqueue(() -> fail(RefusalReason.STEP_FENCED, "")));
            if (ended) {
                step.abandon(0);
            } else {
                prepareRun();
            }
        }
    }

    private void replay(HistoryRecord record) {
        try {
            context.counters().replayed();
            deliver(RecordedResponse.decode(record.answer()), Map.of("Cicadahead-Replayed", "true"));
        } catch (IOException e) {
            LOG.errorf(e, "entry: Failed to decode a recorded response");
            fail(RefusalReason.INTERNAL_ERROR, "The recorded answer cannot be read");
        }
    }

    /** Builds and checks the call to the endpoint, whose prompt and digest depend on the history of the program. */
    private void prepareRun() {
        call = step == null ? payload.call(List.of()) : step.call(payload);
        template = new RunTemplate(request, target, payload, call, step);
        Optional<PoisonEntry> poison = context.replica().poison(template.digest());
        if (poison.isPresent() && poison.get().refused()) {
            fail(RefusalReason.REQUEST_POISONOUS, "");
            return;
        }
        if (KeyScanner.containsKey(call, context.replica())) {
            fail(RefusalReason.REQUEST_MALFORMED, "The request holds a key outside of the Authorization header");
            return;
        }
        if (claim == null) {
            dispatch();
        } else {
            execution.claimOpened();
            whenDone(claim.begin(), this::onClaimReply);
        }
    }

    private void onClaimReply(Message message) {
        if (!(message instanceof ClaimReply reply)) {
            onControlRefusal(message);
        } else if (reply.outcome() == ClaimOutcome.GRANTED) {
            claim.granted(reply);
            // Control grants a claim again only if no run was started under it.
            execution.claimReleased();
            execution.claimOpened();
            if (ended) {
                claim.release();
            } else if (finalFailure == null) {
                dispatch();
            } else {
                fail(finalFailure.reason(), finalFailure.detail());
            }
        } else if (reply.outcome() == ClaimOutcome.DONE && !ended) {
            replayOutcome(reply.recorded());
        } else if (reply.outcome() == ClaimOutcome.RUNNING && execution.mayHaveRun()) {
            context.schedule(POLL_MILLIS, serial, failOnError(this::lookUpClaim));
        } else {
            RefusalReason reason = reply.outcome().refusal().orElse(RefusalReason.INTERNAL_ERROR);
            refuse(Refusal.of(reason, reason.notRun() && !execution.mayHaveRun(), ""));
        }
    }

    private void replayOutcome(Outcome outcome) {
        RecordedResponse recorded = RecordedResponse.of(outcome, request.kind() == CallerRequest.Kind.CHAT);
        servedBy = outcome.endpoint();
        context.counters().replayed();
        recordAndDeliver(call.promptTokens() + ChatPayload.estimateTokens(recorded.body().length), recorded);
    }

    /** Determines the outcome of a claimed run that failed. */
    private void resolveClaim(EndpointRun.Failure failure, EndpointId endpoint) {
        boolean mayRetry = mayRetry(failure, endpoint);
        whenDone(claim.release(), released -> {
            if (released) {
                execution.claimReleased();
            }
            if (ended) {
                return;
            }
            finalFailure = mayRetry ? null : failure;
            if (mayRetry) {
                context.counters().retried(failure.reason());
            } else if (released || RetryPolicy.isFinal(failure.reason())) {
                refuse(Refusal.of(failure.reason(), execution.isNotRun(), failure.detail()));
            }
            lookUpClaim();
        });
    }

    private void lookUpClaim() {
        if (!ended) {
            whenDone(claim.begin(), this::onClaimReply);
        }
    }

    private boolean mayRetry(EndpointRun.Failure failure, EndpointId endpoint) {
        return !ended
                && !response.isStarted()
                && retryPolicy.allowsRetry(failure, endpoint)
                && context.endpoints().tryRetry();
    }

    private void dispatch() {
        if (ended) {
            return;
        }
        Optional<PoisonEntry> poison = context.replica().poison(template.digest());
        Set<EndpointId> avoided = new HashSet<>(retryPolicy.failed().keySet());
        poison.ifPresent(entry -> avoided.addAll(entry.crashed()));
        Optional<Announcement> chosen = context.endpoints().choose(template.choice(avoided, retryPolicy.crashed()));
        PeerClient peer =
                chosen.map(found -> context.endpoints().peer(found.address())).orElse(null);
        if (peer == null) {
            awaitEndpoint();
            return;
        }
        boolean alone = poison.isPresent() || !retryPolicy.crashed().isEmpty();
        long remainingMillis = Math.max(1, target.route().deadlineMillis() - (context.nowMillis() - startedMillis));
        RunRequest attempt = template.newRunRequest(claim == null ? null : claim.claim(), alone, remainingMillis);
        run = new EndpointRun(chosen.get().endpoint(), attempt, payload.collector(), context.counters(), serial, this);
        servedBy = run.endpoint();
        execution.attemptSent();
        run.start(peer);
    }

    private void awaitEndpoint() {
        if (retryCause != null) {
            fail(retryCause.reason(), retryCause.detail());
            return;
        }
        if (endpointWaitMillis >= ENDPOINT_WAIT_MILLIS) {
            fail(RefusalReason.NO_ENDPOINT, "");
            return;
        }
        endpointWaitMillis += POLL_MILLIS;
        context.schedule(POLL_MILLIS, serial, failOnError(this::dispatch));
    }

    /** Records the response if the request is a step, and only then completes the response to the caller. */
    private void recordAndDeliver(long usedTokens, RecordedResponse recorded) {
        if (step == null || !template.completesStep(recorded, claim != null)) {
            if (step != null) {
                step.abandon(usedTokens);
            }
            deliver(recorded, headers());
            return;
        }
        finishPending = true;
        step.finish(usedTokens, call.newMessages(), recorded)
                .whenCompleteAsync(
                        (done, failure) -> failOnError(() -> onStepFinished(done, failure, recorded))
                                .run(),
                        serial);
    }

    private void onStepFinished(Done done, Throwable failure, RecordedResponse recorded) {
        finishPending = false;
        if (failure != null) {
            // FinishStep may still be committed, so the step is not abandoned; its lease expires.
            step.release();
            fail(RefusalReason.OUTCOME_UNCONFIRMED, "");
        } else if (!done.accepted()) {
            step.release();
            fail(RefusalReason.STEP_FENCED, "");
        } else {
            step.finished(call.newMessages(), recorded);
            deliver(recorded, headers());
        }
    }

    private void deliver(RecordedResponse recorded, Map<String, String> headers) {
        if (ended) {
            return;
        }
        markEnded();
        if (response.isStarted()) {
            response.finishStream();
        } else if (payload.isStream() && recorded.chat()) {
            response.stream(headers, recorded.toEvent());
            response.finishStream();
        } else {
            Map<String, String> all = new HashMap<>(headers);
            all.putAll(recorded.headers());
            response.complete(recorded.status(), all, recorded.body());
        }
    }

    private void onControlRefusal(Message message) {
        if (message instanceof Refused refused) {
            fail(refused.reason(), refused.detail());
        } else {
            fail(RefusalReason.INTERNAL_ERROR, "");
        }
    }

    /** Refuses the request, after releasing its claim if it holds one. */
    private void fail(RefusalReason reason, String detail) {
        if (ended || finishPending) {
            return;
        }
        if (claim == null || claim.claim() == null) {
            refuse(Refusal.of(reason, execution.isNotRun(), detail));
            return;
        }
        markEnded();
        whenDone(claim.release(), released -> {
            if (released) {
                execution.claimReleased();
            }
            stopRun(released);
            abandonAndRefuse(Refusal.of(reason, execution.isNotRun(), detail));
        });
    }

    private void refuse(Refusal refusal) {
        if (!ended) {
            markEnded();
            stopRun(true);
            abandonAndRefuse(refusal);
        }
    }

    private void abandonAndRefuse(Refusal refusal) {
        if (step != null) {
            step.abandon(execution.mayHaveRun() ? template.usedTokens(null, run == null ? 0 : run.responseBytes()) : 0);
        }
        response.refuse(refusal);
    }

    private void stopRun(boolean cancel) {
        if (run != null && run.stop(cancel)) {
            context.endpoints().failed(run.endpoint(), RefusalReason.CALLER_GONE);
        }
    }

    private void markEnded() {
        ended = true;
        context.flows().remove(this);
        if (deadline != null) {
            deadline.cancel(false);
        }
        if (admission != null) {
            admission.cancel(false);
        }
    }

    private Map<String, String> headers() {
        return servedBy == null ? Map.of() : Map.of("Cicadahead-Endpoint", servedBy.value());
    }

    private void enqueue(Runnable task) {
        serial.execute(failOnError(task));
    }

    private <T> void whenDone(CompletableFuture<T> future, Consumer<T> next) {
        future.whenCompleteAsync(
                (value, failure) -> failOnError(() -> {
                            if (failure == null) {
                                next.accept(value);
                            } else {
                                onControlFailure(failure);
                            }
                        })
                        .run(),
                serial);
    }

    private void onControlFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (ended) {
            return;
        }
        if (cause instanceof WireException wire) {
            if (!wire.mayHaveArrived() && !execution.mayHaveRun()) {
                execution.claimNotSent();
            }
            boolean notRun = execution.isNotRun();
            fail(notRun ? RefusalReason.CONTROL_UNAVAILABLE : RefusalReason.OUTCOME_UNCONFIRMED, "");
        } else {
            LOG.errorf(cause, "entry: Request %s failed", request.id());
            fail(RefusalReason.INTERNAL_ERROR, "");
        }
    }

    private Runnable failOnError(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.errorf(e, "entry: Request %s failed", request.id());
                finishPending = false;
                fail(RefusalReason.INTERNAL_ERROR, "");
            }
        };
    }
}
