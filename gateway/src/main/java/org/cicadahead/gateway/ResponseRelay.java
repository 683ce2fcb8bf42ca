package org.cicadahead.gateway;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.cicadahead.site.EngineTraits;

/** The answer of one send: checks it, and cuts a stream into events. Guarded by the request scope. */
final class ResponseRelay {
    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;
    /** The largest answer that is read whole, in bytes. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private final AdmittedRequest admitted;
    private final EventStreamParser scanner = new EventStreamParser();
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private ResponseHead head;
    private long lastEvent;
    private boolean begun;
    private int events;

    private ResponseRelay(AdmittedRequest admitted, long lastEvent) {
        this.admitted = admitted;
        this.lastEvent = lastEvent;
    }

    static ResponseRelay create(AdmittedRequest admitted, long lastEvent) {
        return new ResponseRelay(admitted, lastEvent);
    }

    /** Takes the head; returns why the request should be sent elsewhere, or null. */
    RetryReason head(ResponseHead received, boolean attemptsLeft) {
        head = received;
        if (received.notRun() || received.status() == MISDIRECTED) {
            return received.status() == MISDIRECTED ? RetryReason.WRONG_INSTANCE : RetryReason.REJECTED;
        }
        boolean own = received.attempt().equals(admitted.caller().attempt());
        if (!own || received.isSuccess() && !received.signature()) {
            return RetryReason.BAD_ANSWER;
        }
        boolean failed = received.status() >= SERVER_ERROR;
        return failed && attemptsLeft && admitted.route().mayRepeat() ? RetryReason.FAILED : null;
    }

    /** Takes a piece of the body; returns the events to pass on. */
    List<StreamEvent> data(byte[] piece) {
        begun = true;
        if (!isStream()) {
            whole.writeBytes(piece);
            return List.of();
        }
        List<StreamEvent> fresh = new ArrayList<>();
        for (StreamEvent event : scanner.feed(piece)) {
            if (event.id() >= 0 && event.id() <= lastEvent) {
                continue;
            }
            if (event.id() >= 0) {
                lastEvent = event.id();
            }
            if (event.data() != null) {
                output.writeBytes(event.data());
                output.write('\n');
            }
            events++;
            fresh.add(event);
        }
        return fresh;
    }

    /** Returns the last event that was passed on, by this send or before it; -1 if there was none. */
    long lastEvent() {
        return lastEvent;
    }

    ResponseHead head() {
        return head;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Returns how many events the endpoint has sent. */
    int events() {
        return events;
    }

    boolean isStream() {
        return admitted.route().repetition().isStreamed() && head.isSuccess();
    }

    /** Returns whether the answer is larger than any that is sound. */
    boolean isBroken() {
        return scanner.isTooLarge() || whole.size() > MAX_BODY_BYTES;
    }

    /** Returns whether an answer that has ended ended after a whole event. */
    boolean isComplete() {
        return head != null && !scanner.hasRest();
    }

    byte[] body() {
        return whole.toByteArray();
    }

    byte[] output() {
        return output.toByteArray();
    }

    /** Returns how many tokens an event counts for. */
    long tokens(StreamEvent event) {
        EngineTraits engine = admitted.service().engine();
        return engine == null || event.data() == null ? 0 : engine.tokensPerEvent();
    }
}
