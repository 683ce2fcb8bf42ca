package org.cicadahead.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.AbandonStep;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.protocol.ReadProgram;
import org.cicadahead.protocol.StepOutcome;
import org.cicadahead.protocol.StepRef;
import org.cicadahead.protocol.StepReply;

/** The step that a request is, from its begin to its end. Not safe for use by several threads. */
final class StepSession {
    /** Across a change of the leader, in milliseconds. */
    static final long CONTROL_TIMEOUT_MILLIS = 4_000;
    /** The answer is there already, so that a longer wait saves a whole run; in milliseconds. */
    static final long FINISH_TIMEOUT_MILLIS = 10_000;

    private final EntryContext context;
    private final CallerRequest request;
    private final RequestTarget target;
    private final ProgramKey program;
    private final String nonce = UUID.randomUUID().toString();
    private final List<HistoryRecord> history = new ArrayList<>();
    private ProgramKey root;
    private StepRef step;
    private long spentTokens;
    private long reservedTokens;
    private RequestPayload.Call call;
    private int callSteps;

    StepSession(EntryContext context, CallerRequest request, RequestTarget target) {
        this.context = context;
        this.request = request;
        this.target = target;
        this.program = ProgramKey.of(target.organisation(), request.program());
        this.root = request.parent() == null ? program : ProgramKey.of(target.organisation(), request.parent());
    }

    ProgramKey program() {
        return program;
    }

    ProgramKey root() {
        return root;
    }

    long spentTokens() {
        return spentTokens;
    }

    /**
     * Begins the step. The history is read first, as the budget that is reserved depends on it.
     *
     * @param work the request
     * @return the answer of control: a {@link StepReply} or a {@link org.cicadahead.protocol.Refused}
     */
    CompletableFuture<Message> begin(RequestPayload work) {
        if (request.step() == 1) {
            return beginStep(work);
        }
        Optional<HistoryCache.Entry> cached =
                context.histories().find(program, request.step() - 1, context.nowMillis());
        if (cached.isPresent()) {
            root = cached.get().root();
            history.addAll(cached.get().records());
            return beginStep(work);
        }
        return context.control()
                .call(new ReadProgram(program, 1), Message.class, CONTROL_TIMEOUT_MILLIS)
                .thenCompose(view -> {
                    if (view instanceof ProgramView known) {
                        root = known.root() == null ? root : known.root();
                        known.history().stream()
                                .filter(record -> record.step() < request.step())
                                .forEach(history::add);
                    }
                    return beginStep(work);
                });
    }

    /** Takes the grant of control, after which the lease is renewed. */
    void granted(StepReply reply, Runnable onLost) {
        reply.history().stream()
                .filter(record -> history.isEmpty()
                        || record.step() > history.get(history.size() - 1).step())
                .forEach(history::add);
        step = new StepRef(program, request.step(), reply.fence());
        spentTokens = reply.spentTokens();
        context.renewal().add(step, onLost);
    }

    /** Returns the recorded answer of a replayed step. */
    static Optional<HistoryRecord> replayed(StepReply reply) {
        boolean replayed =
                reply.outcome() == StepOutcome.REPLAYED && !reply.history().isEmpty();
        return replayed ? Optional.of(reply.history().get(reply.history().size() - 1)) : Optional.empty();
    }

    /** Returns what to send to the endpoint; made anew only if control knew more of the history. */
    RequestPayload.Call call(RequestPayload work) {
        return history.size() == callSteps ? call : work.call(history);
    }

    CompletableFuture<Done> finish(long usedTokens, byte[] messages, RecordedResponse answer) {
        FinishStep finish = new FinishStep(step, usedTokens, messages, answer.encode(), request.end());
        return context.control().call(finish, Done.class, FINISH_TIMEOUT_MILLIS);
    }

    /** Keeps the history for the next step and stops renewing the lease. */
    void finished(byte[] messages, RecordedResponse answer) {
        history.add(new HistoryRecord(request.step(), messages, answer.encode()));
        if (request.end()) {
            context.histories().remove(program);
        } else {
            context.histories().put(program, new HistoryCache.Entry(root, List.copyOf(history)), context.nowMillis());
        }
        release();
    }

    /** Gives the step up, so that a resend may run it at once. If this fails, the lease ends by itself. */
    void abandon(long usedTokens) {
        if (step != null) {
            context.renewal().remove(step);
            AbandonStep abandon = new AbandonStep(step, Math.min(usedTokens, reservedTokens));
            context.control().call(abandon, Done.class, CONTROL_TIMEOUT_MILLIS);
            step = null;
        }
    }

    /** Stops renewing the lease. */
    void release() {
        if (step != null) {
            context.renewal().remove(step);
            step = null;
        }
    }

    private CompletableFuture<Message> beginStep(RequestPayload work) {
        call = work.call(history);
        callSteps = history.size();
        reservedTokens = call.promptTokens() + work.maxTokens();
        BeginStep begin = new BeginStep(
                program,
                request.parent(),
                request.step(),
                work.digest(),
                target.route().name(),
                reservedTokens,
                target.route().programBudgetTokens(),
                target.route().maxSteps(),
                target.route().idleLimitMillis(),
                history.size(),
                context.daemon(),
                nonce);
        return context.control().call(begin, Message.class, CONTROL_TIMEOUT_MILLIS);
    }
}
