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

/** The program step of a request, from its start until it is finished or abandoned. Not thread-safe. */
final class StepSession {
    /** Timeout of calls to control in milliseconds; long enough for a leader failover. */
    static final long CONTROL_TIMEOUT_MILLIS = 4_000;
    /**
     * Timeout of FinishStep in milliseconds. It is longer than that of other calls, because the response of a completed
     * run is lost if the call fails.
     */
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
    private RequestPayload.EndpointCall call;
    private int callHistorySize;

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
     * Begins the step. The history is read first, as the number of reserved tokens depends on it.
     *
     * @param payload the payload of the request
     * @return the reply of control: a {@link StepReply} or a {@link org.cicadahead.protocol.Refused}
     */
    CompletableFuture<Message> begin(RequestPayload payload) {
        if (request.step() == 1) {
            return beginStep(payload);
        }
        Optional<HistoryCache.ProgramHistory> cached =
                context.histories().find(program, request.step() - 1, context.nowMillis());
        if (cached.isPresent()) {
            root = cached.get().root();
            history.addAll(cached.get().records());
            return beginStep(payload);
        }
        return context.control()
                .call(new ReadProgram(program, 1), Message.class, CONTROL_TIMEOUT_MILLIS)
                .thenCompose(reply -> {
                    if (reply instanceof ProgramView view) {
                        root = view.root() == null ? root : view.root();
                        view.history().stream()
                                .filter(record -> record.step() < request.step())
                                .forEach(history::add);
                    }
                    return beginStep(payload);
                });
    }

    /** Applies the grant of control and starts the renewal of the lease. */
    void granted(StepReply reply, Runnable onLost) {
        reply.history().stream()
                .filter(record -> history.isEmpty()
                        || record.step() > history.get(history.size() - 1).step())
                .forEach(history::add);
        step = new StepRef(program, request.step(), reply.fence());
        spentTokens = reply.spentTokens();
        context.stepLeaseRenewer().add(step, onLost);
    }

    /** Returns the record of a replayed step, or empty if the step is not replayed. */
    static Optional<HistoryRecord> replayed(StepReply reply) {
        boolean replayed =
                reply.outcome() == StepOutcome.REPLAYED && !reply.history().isEmpty();
        return replayed ? Optional.of(reply.history().get(reply.history().size() - 1)) : Optional.empty();
    }

    /** Returns the call to the endpoint. It is built again only if the grant added records to the history. */
    RequestPayload.EndpointCall call(RequestPayload payload) {
        return history.size() == callHistorySize ? call : payload.call(history);
    }

    CompletableFuture<Done> finish(long usedTokens, byte[] messages, RecordedResponse response) {
        FinishStep finish = new FinishStep(step, usedTokens, messages, response.encode(), request.end());
        return context.control().call(finish, Done.class, FINISH_TIMEOUT_MILLIS);
    }

    /** Caches the history for the next step and stops the renewal of the lease. */
    void finished(byte[] messages, RecordedResponse response) {
        history.add(new HistoryRecord(request.step(), messages, response.encode()));
        if (request.end()) {
            context.histories().remove(program);
        } else {
            context.histories()
                    .put(program, new HistoryCache.ProgramHistory(root, List.copyOf(history)), context.nowMillis());
        }
        release();
    }

    /** Abandons the step, so that it may be sent again immediately. If the message is lost, the lease expires. */
    void abandon(long usedTokens) {
        if (step != null) {
            context.stepLeaseRenewer().remove(step);
            AbandonStep abandon = new AbandonStep(step, Math.min(usedTokens, reservedTokens));
            context.control().call(abandon, Done.class, CONTROL_TIMEOUT_MILLIS);
            step = null;
        }
    }

    /** Stops the renewal of the lease. */
    void release() {
        if (step != null) {
            context.stepLeaseRenewer().remove(step);
            step = null;
        }
    }

    private CompletableFuture<Message> beginStep(RequestPayload payload) {
        call = payload.call(history);
        callHistorySize = history.size();
        reservedTokens = call.promptTokens() + payload.maxTokens();
        BeginStep begin = new BeginStep(
                program,
                request.parent(),
                request.step(),
                payload.digest(),
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
