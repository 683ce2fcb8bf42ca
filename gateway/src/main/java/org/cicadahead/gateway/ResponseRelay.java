package org.cicadahead.gateway;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.cicadahead.site.EngineTraits;

/**
 * Validates the response to one attempt, and splits a stream into events or buffers any other body. Guarded by the lock
 * of the request scope.
 */
final class ResponseRelay {
    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;
    /** The maximum size of a buffered response body, in bytes. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private final AdmittedRequest admitted;
    private final EventStreamParser parser = new EventStreamParser();
    private final ByteArrayOutputStream bodyBuffer = new ByteArrayOutputStream();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ResponseMemory.Holding memory;
    private boolean tooLarge;
    private ResponseHead head;
    /** The head of the response that began the stream; null while the caller has received no event. */
    private ResponseHead begun;

    private long lastEventId;
    private boolean started;
    private int eventCount;

    private ResponseRelay(AdmittedRequest admitted, long lastEventId, ResponseMemory.Holding memory) {
        this.admitted = admitted;
        this.memory = memory;
        this.lastEventId = lastEventId;
    }

    static ResponseRelay create(AdmittedRequest admitted, long lastEventId, ResponseMemory memory) {
        return new ResponseRelay(admitted, lastEventId, memory.newHolding());
    }

    /** Returns the relay of a further attempt, which continues the stream where this one broke off. */
    ResponseRelay next(ResponseMemory responseMemory) {
        ResponseRelay next = create(admitted, lastEventId, responseMemory);
        next.output.writeBytes(output.toByteArray());
        next.begun = begun;
        return next;
    }

    /**
     * Checks the response head; returns the reason to retry at another endpoint, or null to accept the response.
     *
     * @param received the head
     * @param attemptsLeft whether the request may be sent to a further endpoint
     * @param streamStarted whether the caller has received a part of the stream; no failure can be passed on then
     */
    RetryReason checkHead(ResponseHead received, boolean attemptsLeft, boolean streamStarted) {
        head = received;
        if (!received.attempt().equals(admitted.caller().attempt())) {
            // A late copy of an earlier response on this connection tells nothing about this request.
            return RetryReason.BAD_ANSWER;
        }
        if (received.notRun() || received.status() == MISDIRECTED) {
            return received.status() == MISDIRECTED ? RetryReason.WRONG_INSTANCE : RetryReason.REJECTED;
        }
        if (received.isSuccess() && !received.signature()) {
            return RetryReason.BAD_ANSWER;
        }
        if (streamStarted && !received.isSuccess()) {
            return RetryReason.FAILED;
        }
        if (streamStarted && !continuesStream(received)) {
            return RetryReason.BAD_ANSWER;
        }
        boolean failed = received.status() >= SERVER_ERROR;
        return failed && attemptsLeft && admitted.route().mayRepeat() ? RetryReason.FAILED : null;
    }

    /** Returns whether a response may be appended to the one that began the stream. */
    private boolean continuesStream(ResponseHead received) {
        return begun != null
                && received.status() == begun.status()
                && received.mediaType().equals(begun.mediaType());
    }

    /** Processes a chunk of the body; returns the complete events that the caller has not received yet. */
    List<StreamEvent> processData(byte[] chunk) {
        started = true;
        if (!memory.resize((long) bodyBuffer.size() + output.size() + parser.bufferedBytes() + chunk.length)) {
            tooLarge = true;
            return List.of();
        }
        if (!isStream()) {
            bodyBuffer.writeBytes(chunk);
            return List.of();
        }
        List<StreamEvent> newEvents = new ArrayList<>();
        for (StreamEvent event : parser.feed(chunk)) {
            if (event.id() >= 0 && event.id() <= lastEventId) {
                continue;
            }
            if (event.id() >= 0) {
                lastEventId = event.id();
            }
            if (event.data() != null) {
                output.writeBytes(event.data());
                output.write('\n');
            }
            begun = begun == null ? head : begun;
            eventCount++;
            newEvents.add(event);
        }
        return newEvents;
    }

    /** Returns the id of the last event passed on, by this attempt or an earlier one; -1 if there was none. */
    long lastEventId() {
        return lastEventId;
    }

    ResponseHead head() {
        return head;
    }

    boolean hasStarted() {
        return started;
    }

    /** Returns the number of events passed on in this attempt. */
    int eventCount() {
        return eventCount;
    }

    boolean isStream() {
        return admitted.route().repetition().isStreamed() && head.isSuccess();
    }

    /** Returns whether an event or the buffered body exceeds its size limit, or all responses exceed theirs. */
    boolean exceedsLimit() {
        return tooLarge || parser.isTooLarge() || bodyBuffer.size() > MAX_BODY_BYTES;
    }

    /** Returns the memory of a response that is no longer needed. */
    void release() {
        memory.release();
    }

    /** Returns whether a response that has ended is complete, without a partial event at its end. */
    boolean isComplete() {
        return head != null && !parser.hasPartialEvent();
    }

    byte[] body() {
        return bodyBuffer.toByteArray();
    }

    /** Returns the data of all events passed on, by this attempt and those that it continues. */
    byte[] output() {
        return output.toByteArray();
    }

    /** Returns the number of tokens to count for an event; 0 if it has no data or the service is no model engine. */
    long tokens(StreamEvent event) {
        EngineTraits engine = admitted.service().engine();
        return engine == null || event.data() == null ? 0 : engine.tokensPerEvent();
    }
}
