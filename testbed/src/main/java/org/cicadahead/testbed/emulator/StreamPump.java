package org.cicadahead.testbed.emulator;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/** Writes the events of a stream to one response, without a thread of its own. */
final class StreamPump extends IteratingCallback implements EngineStream.Reader {
    private final EngineCore core;
    private final EngineStream stream;
    private final FaultSwitches<EngineFault> faults;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final boolean events;
    private int offset;
    private volatile boolean broken;
    private boolean lastWritten;

    StreamPump(
            EngineCore core,
            EngineStream stream,
            FaultSwitches<EngineFault> faults,
            Exchange exchange,
            boolean events,
            int offset) {
        this.core = core;
        this.stream = stream;
        this.faults = faults;
        this.request = exchange.request();
        this.response = exchange.response();
        this.callback = exchange.callback();
        this.events = events;
        this.offset = offset;
    }

    /** What the server passes for one request. */
    record Exchange(Request request, Response response, Callback callback) {}

    void start() {
        response.setStatus(200);
        response.getHeaders().put("Content-Type", events ? "text/event-stream" : "application/json");
        stream.readers.add(this);
        iterate();
    }

    @Override
    public void wake() {
        iterate();
    }

    @Override
    public void abort() {
        broken = true;
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        iterate();
    }

    @Override
    protected Action process() throws IOException {
        if (broken) {
            throw new IOException("the stream is broken");
        }
        if (lastWritten) {
            return Action.SUCCEEDED;
        }
        boolean ended = core.ended(stream);
        byte[] next = events ? core.event(stream, offset) : ended ? stream.whole() : null;
        if (next != null) {
            if (events && faults.takeAt(EngineFault.BREAK_AFTER_EVENTS, offset)) {
                broken = true;
                request.getConnectionMetaData().getConnection().getEndPoint().close();
                throw new IOException("broken by a fault switch");
            }
            offset++;
            lastWritten = !events;
            response.write(lastWritten, ByteBuffer.wrap(next), this);
            return Action.SCHEDULED;
        }
        if (ended) {
            lastWritten = true;
            response.write(true, null, this);
            return Action.SCHEDULED;
        }
        return Action.IDLE;
    }

    @Override
    protected void onCompleteSuccess() {
        core.readerGone(stream, this);
        callback.succeeded();
    }

    @Override
    protected void onCompleteFailure(Throwable cause) {
        core.readerGone(stream, this);
        callback.failed(cause);
    }
}
