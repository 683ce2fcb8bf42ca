package org.cicadahead.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Splits a stream of server-sent events into complete events. Not thread-safe. */
final class EventSplitter {
    /** The maximum size of an event, which bounds the memory that an incomplete event holds. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] USAGE = "\"usage\"".getBytes(StandardCharsets.US_ASCII);

    private byte[] partialEvent = new byte[0];
    private long totalEvents;
    private int lastEvents;
    private byte[] usageEvent;
    private boolean doneReceived;

    /** Adds received bytes and returns the events that they complete, without the final {@code [DONE]} event. */
    byte[] feed(ByteBuffer bytes) throws EngineException {
        byte[] buffer = new byte[partialEvent.length + bytes.remaining()];
        System.arraycopy(partialEvent, 0, buffer, 0, partialEvent.length);
        bytes.get(buffer, partialEvent.length, bytes.remaining());
        ByteArrayOutputStream events = new ByteArrayOutputStream(buffer.length);
        lastEvents = 0;
        int start = 0;
        for (int end = nextEventEnd(buffer, start); end >= 0; end = nextEventEnd(buffer, start)) {
            if (isDone(buffer, start, end)) {
                doneReceived = true;
            } else {
                events.write(buffer, start, end - start);
                lastEvents++;
                findUsage(buffer, start, end);
            }
            start = end;
        }
        if (buffer.length - start > MAX_EVENT_BYTES) {
            throw new EngineException(EngineException.Kind.MALFORMED, "an event of the stream is too large", null);
        }
        partialEvent = start == buffer.length ? new byte[0] : Arrays.copyOfRange(buffer, start, buffer.length);
        totalEvents += lastEvents;
        return events.toByteArray();
    }

    /** Discards an incomplete event, as a resumed stream starts at an event boundary. */
    void reset() {
        partialEvent = new byte[0];
    }

    /** Returns the number of events that the last call of {@link #feed(ByteBuffer)} returned. */
    int lastEvents() {
        return lastEvents;
    }

    /** Returns the number of events that all calls of {@link #feed(ByteBuffer)} returned. */
    long totalEvents() {
        return totalEvents;
    }

    /** Returns the event that contains the token usage of the whole stream, or null. */
    byte[] usageEvent() {
        return usageEvent;
    }

    /** Returns whether the last event of the stream was received. A stream that ends earlier was interrupted. */
    boolean isComplete() {
        return partialEvent.length == 0 && (usageEvent != null || doneReceived);
    }

    private void findUsage(byte[] buffer, int start, int end) {
        if (indexOf(buffer, start, end, USAGE) < 0) {
            return;
        }
        byte[] event = Arrays.copyOfRange(buffer, start, end);
        if (EngineBodies.usage(event) != null && EngineBodies.isFinal(event)) {
            usageEvent = event;
        }
    }

    /** Returns whether a line of an event, and not a text in its data, ends the stream. */
    private static boolean isDone(byte[] buffer, int start, int end) {
        int index = indexOf(buffer, start, end, DONE);
        if (index < 0) {
            return false;
        }
        byte next = buffer[index + DONE.length];
        return (index == start || buffer[index - 1] == '\n') && (next == '\n' || next == '\r');
    }

    private static int nextEventEnd(byte[] buffer, int from) {
        for (int i = from; i + 1 < buffer.length; i++) {
            if (buffer[i] == '\n' && buffer[i + 1] == '\n') {
                return i + 2;
            }
        }
        return -1;
    }

    private static int indexOf(byte[] buffer, int from, int to, byte[] wanted) {
        for (int i = from; i + wanted.length <= to; i++) {
            int matched = 0;
            while (matched < wanted.length && buffer[i + matched] == wanted[matched]) {
                matched++;
            }
            if (matched == wanted.length) {
                return i;
            }
        }
        return -1;
    }
}
