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

/** One attempt to run a request at an endpoint. Its methods, but for those of the listener, run on one executor. */
final class EndpointRun implements StreamListener {
    private final EndpointId endpoint;
    private final RunRequest request;
    private final ResponseCollector collector;
    private final Counters counters;
    private final Executor executor;
    private final RunListener sink;
    private PeerCall call;
    private long nextSequence;
    private boolean ended;

    /** Takes what comes of a run; exactly one of the last two methods is called unless the run is cancelled. */
    interface RunListener {

        /** Takes events for the caller. */
        void relay(byte[] events);

        /** Takes the complete answer. */
        void completed(RunEnd end, RecordedResponse recorded);

        /** Takes the failure of the run. */
        void failed(Failure failure);
    }

    /**
     * Why a run failed.
     *
     * @param reason the reason
     * @param notRun true if the endpoint certainly did not and will not run the request
     * @param detail for people
     */
    record Failure(RefusalReason reason, boolean notRun, String detail) {}

    EndpointRun(
            EndpointId endpoint,
            RunRequest request,
            ResponseCollector collector,
            Counters counters,
            Executor executor,
            RunListener sink) {
        this.endpoint = endpoint;
        this.request = request;
        this.collector = collector;
        this.counters = counters;
        this.executor = executor;
        this.sink = sink;
    }

    EndpointId endpoint() {
        return endpoint;
    }

    long answerBytes() {
        return collector.bytes();
    }

    void start(PeerClient peer) {
        call = peer.stream(request, this);
    }

    /**
     * Stops listening; the sink is told nothing more.
     *
     * @param cancel whether the endpoint is told to stop as well
     * @return false if the run had ended before
     */
    boolean leave(boolean cancel) {
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
                take(part);
            }
        });
    }

    @Override
    public void end(Message reply) {
        executor.execute(() -> {
            if (!ended) {
                takeEnd(reply);
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

    private void take(Message part) {
        if (!(part instanceof RunChunk chunk)
                || !chunk.run().equals(request.run())
                || chunk.sequence() < nextSequence) {
            counters.chunkDropped();
            return;
        }
        if (chunk.sequence() > nextSequence) {
            breakOff("Chunks of the answer are missing");
            return;
        }
        nextSequence++;
        try {
            byte[] events = collector.accept(chunk.data());
            if (events.length > 0) {
                sink.relay(events);
            }
        } catch (InvalidResponseException e) {
            breakOff(e.getMessage());
        }
    }

    private void takeEnd(Message reply) {
        if (!(reply instanceof RunEnd end) || !end.run().equals(request.run())) {
            fail(RefusalReason.ANSWER_INCOMPLETE, false, "The end of the answer belongs to another run");
        } else if (end.refusal() != null) {
            fail(end.refusal(), end.notRun(), end.detail());
        } else if (end.status() < 200 || end.status() > 599) {
            fail(RefusalReason.ANSWER_INCOMPLETE, false, "The answer has no valid status");
        } else if (end.chunks() != nextSequence) {
            fail(RefusalReason.ANSWER_INCOMPLETE, false, "The last chunks of the answer are missing");
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
        sink.completed(end, recorded);
    }

    private void breakOff(String detail) {
        if (call != null) {
            call.cancel();
        }
        fail(RefusalReason.ANSWER_INCOMPLETE, false, detail);
    }

    private void fail(RefusalReason reason, boolean notRun, String detail) {
        if (!ended) {
            ended = true;
            sink.failed(new Failure(reason, notRun, detail));
        }
    }
}
