package org.cicadahead.entry;

import java.util.concurrent.Executor;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.RunChunk;
import org.cicadahead.protocol.RunEnd;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.wire.PeerCall;
import org.cicadahead.wire.PeerClient;
import org.cicadahead.wire.StreamListener;
import org.cicadahead.wire.WireException;

/**
 * One attempt to run a request at an endpoint. All methods except those of {@link StreamListener} are called on the
 * serial executor of the request.
 */
final class EndpointRun implements StreamListener {
    private final EndpointId endpoint;
    private final RunRequest request;
    private final ResponseCollector collector;
    private final Counters counters;
    private final Executor executor;
    private final RunListener listener;
    private PeerCall call;
    private long nextSequence;
    private boolean relayed;
    private boolean ended;

    /**
     * Receives the results of a run. Unless the run is stopped, either {@code completed} or {@code failed} is called
     * exactly once.
     */
    interface RunListener {

        /** Receives events to relay to the caller. */
        void relay(byte[] events);

        /** Receives the complete response. */
        void completed(RunEnd end, RecordedResponse recorded);

        /** Receives the failure of the run. */
        void failed(Failure failure);
    }

    /**
     * The failure of a run.
     *
     * @param reason the reason
     * @param notRun true if the endpoint certainly did not run the request and will not run it
     * @param detail a human-readable explanation
     */
    record Failure(RefusalReason reason, boolean notRun, String detail) {}

    EndpointRun(
            EndpointId endpoint,
            RunRequest request,
            ResponseCollector collector,
            Counters counters,
            Executor executor,
            RunListener listener) {
        this.endpoint = endpoint;
        this.request = request;
        this.collector = collector;
        this.counters = counters;
        this.executor = executor;
        this.listener = listener;
    }

    EndpointId endpoint() {
        return endpoint;
    }

    long responseBytes() {
        return collector.bytes();
    }

    void start(PeerClient peer) {
        call = peer.stream(request, this);
    }

    /**
     * Ends the run for this entry. The listener is not called any more.
     *
     * @param cancel whether to cancel the run at the endpoint as well
     * @return false if the run had already ended
     */
    boolean stop(boolean cancel) {
        if (ended) {
            return false;
        }
        ended = true;
        if (cancel && call != null) {
            call.cancel();
        }
        return true;
    }

    @Override
    public void part(Message part) {
        executor.execute(() -> {
            if (!ended) {
                onChunk(part);
            }
        });
    }

    @Override
    public void end(Message reply) {
        executor.execute(() -> {
            if (!ended) {
                onEnd(reply);
            }
        });
    }

    @Override
    public void failed(WireException cause) {
        executor.execute(() -> {
            RefusalReason reason = cause.kind() == WireException.Kind.MALFORMED
                    ? RefusalReason.ANSWER_INCOMPLETE
                    : RefusalReason.ENDPOINT_LOST;
            fail(reason, !cause.mayHaveArrived(), "The connection to the endpoint failed");
        });
    }

    private void onChunk(Message part) {
        if (!(part instanceof RunChunk chunk)
                || !chunk.run().equals(request.run())
                || chunk.sequence() < nextSequence) {
            counters.chunkDropped();
            return;
        }
        if (chunk.sequence() > nextSequence) {
            abort("Chunks of the answer are missing");
            return;
        }
        nextSequence++;
        try {
            byte[] events = collector.accept(chunk.data());
            if (events.length > 0) {
                relayed = true;
                listener.relay(events);
            }
        } catch (InvalidResponseException e) {
            abort(e.getMessage());
        }
    }

    private void onEnd(Message reply) {
        if (!(reply instanceof RunEnd end) || !end.run().equals(request.run())) {
            fail(RefusalReason.ANSWER_INCOMPLETE, false, "The end of the answer belongs to another run");
        } else if (end.refusal() != null) {
            fail(end.refusal(), end.notRun(), end.detail());
        } else if (end.status() < 200 || end.status() > 599) {
            fail(RefusalReason.ANSWER_INCOMPLETE, false, "The answer has no valid status");
        } else if (end.chunks() != nextSequence) {
            fail(RefusalReason.ANSWER_INCOMPLETE, false, "The last chunks of the answer are missing");
        } else if (relayed && !RecordedResponse.isSuccess(end.status())) {
            fail(RefusalReason.ANSWER_INCOMPLETE, false, "The stream ended with a failure");
        } else {
            complete(end);
        }
    }

    private void complete(RunEnd end) {
        RecordedResponse recorded;
        try {
            recorded = collector.finish(end);
        } catch (InvalidResponseException e) {
            fail(RefusalReason.ANSWER_INCOMPLETE, false, e.getMessage());
            return;
        }
        ended = true;
        listener.completed(end, recorded);
    }

    private void abort(String detail) {
        if (call != null) {
            call.cancel();
        }
        fail(RefusalReason.ANSWER_INCOMPLETE, false, detail);
    }

    private void fail(RefusalReason reason, boolean notRun, String detail) {
        if (!ended) {
            ended = true;
            listener.failed(new Failure(reason, notRun, detail));
        }
    }
}
