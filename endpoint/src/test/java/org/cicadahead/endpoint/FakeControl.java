package org.cicadahead.endpoint;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.AbandonClaim;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.FinishClaim;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.StartClaim;
import org.cicadahead.wire.WireException;

/** Control with one claim, whose answers arrive, are lost, are late or are refused as a test says. */
final class FakeControl implements ControlPort {
    private final Deque<Delivery> deliveries = new ArrayDeque<>();
    private final List<Runnable> pending = new ArrayList<>();
    private final List<Message> late = new ArrayList<>();
    State state = State.PENDING;
    RunId startedBy;
    FinishClaim finished;

    /** The states of a claim. */
    enum State {
        PENDING,
        STARTED,
        RELEASED,
        DONE,
        UNKNOWN
    }

    /** What becomes of a request and its answer. */
    enum Delivery {
        ANSWERED,
        REQUEST_LOST,
        ANSWER_LOST,
        /** The request is given up and arrives after everything else. */
        REQUEST_LATE,
        NOT_SENT,
        /** Another attempt has closed the claim before. */
        TAKEN_OVER;

        boolean applies() {
            return this == ANSWERED || this == ANSWER_LOST || this == TAKEN_OVER;
        }

        boolean answers() {
            return this == ANSWERED || this == TAKEN_OVER;
        }
    }

    void next(Delivery delivery) {
        deliveries.add(delivery);
    }

    @Override
    public <R extends Message> CompletableFuture<R> call(Message request, Class<R> type, long timeoutMillis) {
        CompletableFuture<R> answer = new CompletableFuture<>();
        pending.add(() -> deliver(request, type, answer));
        return answer;
    }

    /** Decides the requests under way, and those that follow from them. */
    void deliverAll() {
        while (!pending.isEmpty()) {
            pending.remove(0).run();
        }
    }

    void deliverLate() {
        late.forEach(this::apply);
    }

    private <R extends Message> void deliver(Message request, Class<R> type, CompletableFuture<R> answer) {
        Delivery delivery = deliveries.isEmpty() ? Delivery.ANSWERED : deliveries.poll();
        if (delivery == Delivery.TAKEN_OVER && state == State.PENDING) {
            state = State.RELEASED;
        }
        Done done = delivery.applies() ? apply(request) : null;
        if (delivery == Delivery.REQUEST_LATE) {
            late.add(request);
        }
        if (delivery.answers()) {
            answer.complete(type.cast(done));
        } else {
            WireException.Kind kind =
                    delivery == Delivery.NOT_SENT ? WireException.Kind.NOT_SENT : WireException.Kind.TIMEOUT;
            answer.completeExceptionally(new WireException(kind, "lost by the test"));
        }
    }

    private Done apply(Message request) {
        if (request instanceof StartClaim start) {
            if (state == State.PENDING) {
                state = State.STARTED;
                startedBy = start.run();
                return Done.ok();
            }
            return state == State.STARTED && start.run().equals(startedBy) ? Done.ok() : Done.refused("not pending");
        }
        if (request instanceof AbandonClaim abandon) {
            boolean own = state == State.PENDING
                    || state == State.STARTED && abandon.run().equals(startedBy);
            state = own ? State.RELEASED : state;
            return own || state == State.RELEASED ? Done.ok() : Done.refused("not abandoned");
        }
        FinishClaim finish = (FinishClaim) request;
        if (state != State.STARTED) {
            return finish.equals(finished) ? Done.ok() : Done.refused("not started");
        }
        finished = finish;
        state = finish.outcome() == null ? State.UNKNOWN : State.DONE;
        return Done.ok();
    }
}
