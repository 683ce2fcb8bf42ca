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
    private final EventSequence sequence;
    private final long afterEventId;
    private ResponseHead head;
    /** The head of the response that began the stream; null while the caller has received no event. */
    private ResponseHead begun;

    private long firstEventId = -1;
    private RetryReason fault;
    private boolean started;
    private int eventCount;

    private ResponseRelay(AdmittedRequest admitted, EventSequence sequence, ResponseMemory.Holding memory) {
        this.admitted = admitted;
        this.memory = memory;
        this.sequence = sequence;
        this.afterEventId = sequence.last();
    }

    static ResponseRelay create(AdmittedRequest admitted, EventSequence sequence, ResponseMemory memory) {
        return new ResponseRelay(admitted, sequence, memory.newHolding());
    }

    /** Returns the relay of a further attempt, which continues the stream where this one broke off. */
    ResponseRelay next(ResponseMemory responseMemory) {
        sequence.beginResponse();
        ResponseRelay next = new ResponseRelay(admitted, sequence, responseMemory.newHolding());
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
        if (!admitted.route().mayRepeat()) {
            // The caller would send the request again, although the endpoint has run it.
            return received.impliesNotRun() ? RetryReason.FAILED : null;
        }
        return received.status() >= SERVER_ERROR && attemptsLeft ? RetryReason.FAILED : null;
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
            fault = RetryReason.BAD_ANSWER;
            return List.of();
        }
        if (!isStream()) {
            bodyBuffer.writeBytes(chunk);
            return List.of();
        }
        List<StreamEvent> newEvents = new ArrayList<>();
        for (StreamEvent event : parser.feed(chunk)) {
            EventSequence.Fit fit = sequence.add(event);
            if (fit.isFault()) {
                fault = fit == EventSequence.Fit.GAP ? RetryReason.GAP : RetryReason.BAD_ANSWER;
                return newEvents;
            }
            if (firstEventId < 0) {
                firstEventId = event.id();
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
        return sequence.last();
    }

    ResponseHead head() {
        return head;
    }

    /** Returns what the endpoint has responded so far. */
    ResponseSummary summary() {
        if (head == null) {
            return ResponseSummary.NONE;
        }
        long last = firstEventId < 0 ? -1 : sequence.last();
        ResponseSummary.StreamPart part =
                isStream() ? new ResponseSummary.StreamPart(afterEventId, firstEventId, last, eventCount) : null;
        return new ResponseSummary(head.status(), head.requestLimit(), part);
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

    /**
     * Returns the reason to end the response before its end, or null: an event or the buffered body exceeds its size
     * limit, all responses exceed theirs, or the events do not continue the stream.
     */
    RetryReason fault() {
        boolean tooLarge = parser.isTooLarge() || bodyBuffer.size() > MAX_BODY_BYTES;
        return tooLarge ? RetryReason.BAD_ANSWER : fault;
    }

    /** Returns the events passed on so far, by this attempt and those that it continues. */
    EventSequence sequence() {
        return sequence;
    }

    /** Returns the memory of a response that is no longer needed. */
    void release() {
        memory.release();
    }

    /**
     * Returns the reason not to accept the end of the response, or null if it is complete: it has a head, no partial
     * event at its end, and no event of the stream is known to be missing.
     */
    RetryReason checkEnd() {
        if (head == null || parser.hasPartialEvent()) {
            return RetryReason.INCOMPLETE;
        }
        return isStream() && !sequence.isComplete() ? RetryReason.GAP : null;
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
