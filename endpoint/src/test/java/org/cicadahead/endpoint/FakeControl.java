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

/** A fake of control with one claim. The test chooses which requests and replies are lost, late or refused. */
final class FakeControl implements ControlPort {
    private final Deque<Delivery> deliveries = new ArrayDeque<>();
    private final List<Runnable> pending = new ArrayList<>();
    private final List<Message> lateRequests = new ArrayList<>();
    State state = State.PENDING;
    RunId startedBy;
    FinishClaim acceptedFinish;

    /** The states of a claim. */
    enum State {
        PENDING,
        STARTED,
        RELEASED,
        DONE,
        UNKNOWN
    }

    /** How a request and its reply are delivered. */
    enum Delivery {
        /** The request and its reply arrive. */
        ANSWERED,
        /** The request times out and never arrives. */
        REQUEST_LOST,
        /** The request arrives, but its reply is lost. */
        ANSWER_LOST,
        /** The request times out and arrives after all others. */
        REQUEST_LATE,
        /** The request fails before it is sent. */
        NOT_SENT,
        /** Another attempt closes the claim before the request arrives. */
        TAKEN_OVER;

        boolean isApplied() {
            return this == ANSWERED || this == ANSWER_LOST || this == TAKEN_OVER;
        }

        boolean isReplied() {
            return this == ANSWERED || this == TAKEN_OVER;
        }
    }

    /** Sets how the next request without a delivery is delivered; requests without one are answered. */
    void addDelivery(Delivery delivery) {
        deliveries.add(delivery);
    }

    @Override
    public <R extends Message> CompletableFuture<R> call(Message request, Class<R> type, long timeoutMillis) {
        CompletableFuture<R> reply = new CompletableFuture<>();
        pending.add(() -> deliver(request, type, reply));
        return reply;
    }

    /** Delivers the pending requests, and those that result from them. */
    void deliverAll() {
        while (!pending.isEmpty()) {
            pending.remove(0).run();
        }
    }

    /** Delivers the requests that were late. Their replies are ignored. */
    void deliverLate() {
        lateRequests.forEach(this::apply);
    }

    private <R extends Message> void deliver(Message request, Class<R> type, CompletableFuture<R> reply) {
        Delivery delivery = deliveries.isEmpty() ? Delivery.ANSWERED : deliveries.poll();
        if (delivery == Delivery.TAKEN_OVER && state == State.PENDING) {
            state = State.RELEASED;
        }
        Done done = delivery.isApplied() ? apply(request) : null;
        if (delivery == Delivery.REQUEST_LATE) {
            lateRequests.add(request);
        }
        if (delivery.isReplied()) {
            reply.complete(type.cast(done));
        } else {
            WireException.Kind kind =
                    delivery == Delivery.NOT_SENT ? WireException.Kind.NOT_SENT : WireException.Kind.TIMEOUT;
            reply.completeExceptionally(new WireException(kind, "injected by the test"));
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
            boolean releases = state == State.PENDING
                    || state == State.STARTED && abandon.run().equals(startedBy);
            state = releases ? State.RELEASED : state;
            return releases || state == State.RELEASED ? Done.ok() : Done.refused("not abandoned");
        }
        FinishClaim finish = (FinishClaim) request;
        if (state != State.STARTED) {
            return finish.equals(acceptedFinish) ? Done.ok() : Done.refused("not started");
        }
        acceptedFinish = finish;
        state = finish.outcome() == null ? State.UNKNOWN : State.DONE;
        return Done.ok();
    }
}
