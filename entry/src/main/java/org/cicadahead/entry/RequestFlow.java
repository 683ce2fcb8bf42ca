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
 * The flow of one request: admission, step, claim, run, finish. All methods but {@link #start()} and {@link #check()}
 * run on one serial executor. {@link ExecutionTracker} lists what is known at each stage.
 */
final class RequestFlow implements EndpointRun.RunListener {
    private static final Logger LOG = Logger.getLogger("cicadahead.entry");
    /** How long a claim under way elsewhere is looked up again, and an empty pool tried again, in milliseconds. */
    private static final long POLL_MILLIS = 100;
    /** How long a request waits for an endpoint of an empty pool, in milliseconds. */
    private static final long ENDPOINT_WAIT_MILLIS = 1_000;

    private final EntryContext context;
    private final CallerRequest request;
    private final CallerResponse answer;
    private final SerialExecutor serial;
    private final ExecutionTracker ledger = new ExecutionTracker();
    private final RetryPolicy retries = new RetryPolicy();
    private RequestTarget target;
    private RequestPayload work;
    private StepSession step;
    private ClaimSession claim;
    private RequestPayload.Call call;
    private RunTemplate plan;
    private EndpointRun run;
    private EndpointId ranAt;
    /** Why the last run failed, if another endpoint is tried. */
    private EndpointRun.Failure retried;
    /** Why a claimed request is not tried again, while control is asked what became of it. */
    private EndpointRun.Failure lastFailure;

    private long startedMillis;
    private long endpointWaitMillis;
    private Future<?> deadline;
    private CompletableFuture<AdmissionDecision> admission;
    private boolean finishing;
    private boolean ended;

    RequestFlow(EntryContext context, CallerRequest request, CallerResponse answer) {
        this.context = context;
        this.request = request;
        this.answer = answer;
        this.serial = new SerialExecutor(context.workers());
    }

    /** Starts the request. */
    void start() {
        context.flows().add(this);
        answer.onDisconnect(() -> later(() -> fail(RefusalReason.CALLER_GONE, "")));
        later(this::begin);
    }

    /** Checks whether the request may still run; called after changes of the configuration and of its lease. */
    void check() {
        later(() -> {
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

    /** Ends the request because the entry stops. */
    void cutOff() {
        later(() -> fail(RefusalReason.SHUTTING_DOWN, "The time to finish has passed"));
    }

    @Override
    public void relay(byte[] events) {
        if (!answer.stream(headers(), events)) {
            fail(RefusalReason.CALLER_TOO_SLOW, "");
        }
    }

    @Override
    public void completed(RunEnd end, RecordedResponse recorded) {
        ledger.mayHaveRun();
        long used = plan.usedTokens(end.usage(), run.answerBytes());
        context.endpoints().report(run.endpoint(), end.load());
        context.endpoints().completed(run.endpoint(), plan.program(), plan.root(), used);
        finish(used, recorded.placed(Placement.of(run.endpoint(), end.usage(), retries.failed())));
    }

    @Override
    public void failed(EndpointRun.Failure failure) {
        EndpointId endpoint = run.endpoint();
        if (failure.notRun()) {
            ledger.notRun();
        } else {
            ledger.mayHaveRun();
        }
        context.endpoints().failed(endpoint, failure.reason());
        run = null;
        if (claim != null) {
            settleClaim(failure, endpoint);
        } else if (mayRetry(failure, endpoint)) {
            context.counters().retried(failure.reason());
            retried = failure;
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
            work = resolved.work();
        } catch (RefusalException e) {
            end();
            answer.refuse(e.refusal());
            return;
        }
        context.endpoints().countRequest();
        claim = target.route().repeatable() ? null : new ClaimSession(context, request, target, work);
        step = request.program() == null ? null : new StepSession(context, request, target);
        deadline = context.after(
                target.route().deadlineMillis(), serial, guarded(() -> fail(RefusalReason.DEADLINE_EXCEEDED, "")));
        if (target.limits() == null) {
            admitted(new AdmissionDecision(0, Optional.empty(), 0));
        } else {
            admission = context.admission().request(target.limits());
            then(admission, this::admitted);
        }
    }

    private void admitted(AdmissionDecision decision) {
        if (ended) {
            return;
        }
        if (decision.refusal().isPresent()) {
            RefusalReason reason = decision.refusal().get();
            long seconds = Math.max(reason.retryAfterSeconds(), (decision.retryAfterMillis() + 999) / 1_000);
            refuse(new Refusal(reason, ledger.isNotRun(), "", seconds));
        } else if (step == null) {
            prepared();
        } else {
            then(step.begin(work), this::stepAnswered);
        }
    }

    private void stepAnswered(Message message) {
        if (!(message instanceof StepReply reply)) {
            refusedByControl(message);
            return;
        }
        Optional<HistoryRecord> replayed = StepSession.replayed(reply);
        if (replayed.isPresent()) {
            replay(replayed.get());
        } else if (reply.outcome() != StepOutcome.GRANTED) {
            RefusalReason reason = reply.outcome().refusal().orElse(RefusalReason.INTERNAL_ERROR);
            fail(reason, "The next step is " + reply.expectedStep());
        } else {
            step.granted(reply, () -> later(() -> fail(RefusalReason.STEP_FENCED, "")));
            if (ended) {
                step.abandon(0);
            } else {
                prepared();
            }
        }
    }

    private void replay(HistoryRecord record) {
        try {
            context.counters().replayed();
            deliver(RecordedResponse.decode(record.answer()), Map.of("Cicadahead-Replayed", "true"));
        } catch (IOException e) {
            LOG.errorf(e, "entry: A recorded answer cannot be read");
            fail(RefusalReason.INTERNAL_ERROR, "The recorded answer cannot be read");
        }
    }

    /** Continues when the history is known, on which the prompt and so the digest of the run depend. */
    private void prepared() {
        call = step == null ? work.call(List.of()) : step.call(work);
        plan = new RunTemplate(request, target, work, call, step);
        Optional<PoisonEntry> poison = context.replica().poison(plan.digest());
        if (poison.isPresent() && poison.get().refused()) {
            fail(RefusalReason.REQUEST_POISONOUS, "");
            return;
        }
        if (KeyScanner.holdsKey(call, context.replica())) {
            fail(RefusalReason.REQUEST_MALFORMED, "The request holds a key outside of the Authorization header");
            return;
        }
        if (claim == null) {
            dispatch();
        } else {
            ledger.claimOpened();
            then(claim.begin(), this::claimAnswered);
        }
    }

    private void claimAnswered(Message message) {
        if (!(message instanceof ClaimReply reply)) {
            refusedByControl(message);
        } else if (reply.outcome() == ClaimOutcome.GRANTED) {
            claim.granted(reply);
            ledger.claimReleased();
            ledger.claimOpened();
            if (ended) {
                claim.release();
            } else if (lastFailure == null) {
                dispatch();
            } else {
                fail(lastFailure.reason(), lastFailure.detail());
            }
        } else if (reply.outcome() == ClaimOutcome.DONE && !ended) {
            recorded(reply.recorded());
        } else if (reply.outcome() == ClaimOutcome.RUNNING && ledger.mayRun()) {
            context.after(POLL_MILLIS, serial, guarded(this::lookUpClaim));
        } else {
            RefusalReason reason = reply.outcome().refusal().orElse(RefusalReason.INTERNAL_ERROR);
            refuse(Refusal.of(reason, reason.notRun() && !ledger.mayRun(), ""));
        }
    }

    private void recorded(Outcome outcome) {
        RecordedResponse recorded = RecordedResponse.of(outcome, request.kind() == CallerRequest.Kind.CHAT);
        ranAt = outcome.endpoint();
        context.counters().replayed();
        finish(call.promptTokens() + ChatPayload.tokens(recorded.body().length), recorded);
    }

    /** Finds out what became of a claimed run that failed. */
    private void settleClaim(EndpointRun.Failure failure, EndpointId endpoint) {
        boolean mayRetry = mayRetry(failure, endpoint);
        then(claim.release(), released -> {
            if (released) {
                ledger.claimReleased();
            }
            if (ended) {
                return;
            }
            lastFailure = mayRetry ? null : failure;
            if (mayRetry) {
                context.counters().retried(failure.reason());
            } else if (released || RetryPolicy.isFinal(failure.reason())) {
                refuse(Refusal.of(failure.reason(), ledger.isNotRun(), failure.detail()));
            }
            lookUpClaim();
        });
    }

    private void lookUpClaim() {
        if (!ended) {
            then(claim.begin(), this::claimAnswered);
        }
    }

    private boolean mayRetry(EndpointRun.Failure failure, EndpointId endpoint) {
        return !ended
                && !answer.isStarted()
                && retries.allows(failure, endpoint)
                && context.endpoints().tryRetry();
    }

    private void dispatch() {
        if (ended) {
            return;
        }
        Optional<PoisonEntry> poison = context.replica().poison(plan.digest());
        Set<EndpointId> avoided = new HashSet<>(retries.failed().keySet());
        poison.ifPresent(entry -> avoided.addAll(entry.crashed()));
        Optional<Announcement> chosen = context.endpoints().choose(plan.choice(avoided, retries.crashed()));
        PeerClient peer =
                chosen.map(found -> context.endpoints().peer(found.address())).orElse(null);
        if (peer == null) {
            awaitEndpoint();
            return;
        }
        boolean alone = poison.isPresent() || !retries.crashed().isEmpty();
        long left = Math.max(1, target.route().deadlineMillis() - (context.nowMillis() - startedMillis));
        RunRequest attempt = plan.attempt(claim == null ? null : claim.claim(), alone, left);
        run = new EndpointRun(chosen.get().endpoint(), attempt, work.collector(), context.counters(), serial, this);
        ranAt = run.endpoint();
        ledger.sent();
        run.start(peer);
    }

    private void awaitEndpoint() {
        if (retried != null) {
            fail(retried.reason(), retried.detail());
            return;
        }
        if (endpointWaitMillis >= ENDPOINT_WAIT_MILLIS) {
            fail(RefusalReason.NO_ENDPOINT, "");
            return;
        }
        endpointWaitMillis += POLL_MILLIS;
        context.after(POLL_MILLIS, serial, guarded(this::dispatch));
    }

    /** Records the step, if it is one, before the answer is given as complete. */
    private void finish(long usedTokens, RecordedResponse recorded) {
        if (step == null || !plan.records(recorded, claim != null)) {
            if (step != null) {
                step.abandon(usedTokens);
            }
            deliver(recorded, headers());
            return;
        }
        finishing = true;
        step.finish(usedTokens, call.newMessages(), recorded)
                .whenCompleteAsync(
                        (done, failure) ->
                                guarded(() -> finished(done, failure, recorded)).run(),
                        serial);
    }

    private void finished(Done done, Throwable failure, RecordedResponse recorded) {
        finishing = false;
        if (failure != null) {
            // The finish may still be committed, so the step is not abandoned; its lease ends by itself.
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
        end();
        if (answer.isStarted()) {
            answer.finishStream();
        } else if (work.isStream() && recorded.chat()) {
            answer.stream(headers, recorded.events());
            answer.finishStream();
        } else {
            Map<String, String> all = new HashMap<>(headers);
            all.putAll(recorded.headers());
            answer.complete(recorded.status(), all, recorded.body());
        }
    }

    private void refusedByControl(Message message) {
        if (message instanceof Refused refused) {
            fail(refused.reason(), refused.detail());
        } else {
            fail(RefusalReason.INTERNAL_ERROR, "");
        }
    }

    /** Ends the request with a refusal, after its claim is closed. */
    private void fail(RefusalReason reason, String detail) {
        if (ended || finishing) {
            return;
        }
        if (claim == null || claim.claim() == null) {
            refuse(Refusal.of(reason, ledger.isNotRun(), detail));
            return;
        }
        end();
        then(claim.release(), released -> {
            if (released) {
                ledger.claimReleased();
            }
            leaveRun(released);
            giveUp(Refusal.of(reason, ledger.isNotRun(), detail));
        });
    }

    private void refuse(Refusal refusal) {
        if (!ended) {
            end();
            leaveRun(true);
            giveUp(refusal);
        }
    }

    private void giveUp(Refusal refusal) {
        if (step != null) {
            step.abandon(ledger.mayRun() ? plan.usedTokens(null, run == null ? 0 : run.answerBytes()) : 0);
        }
        answer.refuse(refusal);
    }

    private void leaveRun(boolean cancel) {
        if (run != null && run.leave(cancel)) {
            context.endpoints().failed(run.endpoint(), RefusalReason.CALLER_GONE);
        }
    }

    private void end() {
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
        return ranAt == null ? Map.of() : Map.of("Cicadahead-Endpoint", ranAt.value());
    }

    private void later(Runnable task) {
        serial.execute(guarded(task));
    }

    private <T> void then(CompletableFuture<T> future, Consumer<T> next) {
        future.whenCompleteAsync(
                (value, failure) -> guarded(() -> {
                            if (failure == null) {
                                next.accept(value);
                            } else {
                                controlFailed(failure);
                            }
                        })
                        .run(),
                serial);
    }

    private void controlFailed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (ended) {
            return;
        }
        if (cause instanceof WireException wire) {
            if (!wire.mayHaveArrived() && !ledger.mayRun()) {
                ledger.claimNotSent();
            }
            boolean known = ledger.isNotRun();
            fail(known ? RefusalReason.CONTROL_UNAVAILABLE : RefusalReason.OUTCOME_UNCONFIRMED, "");
        } else {
            LOG.errorf(cause, "entry: Request %s failed", request.id());
            fail(RefusalReason.INTERNAL_ERROR, "");
        }
    }

    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.errorf(e, "entry: Request %s failed", request.id());
                finishing = false;
                fail(RefusalReason.INTERNAL_ERROR, "");
            }
        };
    }
}
