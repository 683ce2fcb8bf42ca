package org.cicadahead.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Cuts a stream of server-sent events into whole events. Not safe for use by several threads. */
final class EventSplitter {
    /** An event that is longer than this is not held in memory. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] USAGE = "\"usage\"".getBytes(StandardCharsets.US_ASCII);

    private byte[] rest = new byte[0];
    private long total;
    private int lastEvents;
    private byte[] usageEvent;
    private boolean terminated;

    /** Takes bytes and returns the events that they complete, without an event {@code [DONE]}. */
    byte[] feed(ByteBuffer bytes) throws EngineException {
        byte[] all = new byte[rest.length + bytes.remaining()];
        System.arraycopy(rest, 0, all, 0, rest.length);
        bytes.get(all, rest.length, bytes.remaining());
        ByteArrayOutputStream events = new ByteArrayOutputStream(all.length);
        lastEvents = 0;
        int start = 0;
        for (int end = next(all, start); end >= 0; end = next(all, start)) {
            if (indexOf(all, start, end, DONE) >= 0) {
                terminated = true;
            } else {
                events.write(all, start, end - start);
                lastEvents++;
                keepUsage(all, start, end);
            }
            start = end;
        }
        if (all.length - start > MAX_EVENT_BYTES) {
            throw new EngineException(EngineException.Kind.MALFORMED, "an event is too long", null);
        }
        rest = start == all.length ? new byte[0] : java.util.Arrays.copyOfRange(all, start, all.length);
        total += lastEvents;
        return events.toByteArray();
    }

    /** Drops a part of an event, as the stream is resumed at a whole one. */
    void reset() {
        rest = new byte[0];
    }

    int lastEvents() {
        return lastEvents;
    }

    long total() {
        return total;
    }

    /** Returns the event that carries the usage, or null. */
    byte[] usageEvent() {
        return usageEvent;
    }

    /** Returns whether the stream has reached its last event; one that ends before is broken. */
    boolean complete() {
        return rest.length == 0 && (usageEvent != null || terminated);
    }

    private void keepUsage(byte[] all, int start, int end) {
        if (indexOf(all, start, end, USAGE) >= 0) {
            usageEvent = java.util.Arrays.copyOfRange(all, start, end);
        }
    }

    private static int next(byte[] all, int from) {
        for (int i = from; i + 1 < all.length; i++) {
            if (all[i] == '\n' && all[i + 1] == '\n') {
                return i + 2;
            }
        }
        return -1;
    }

    private static int indexOf(byte[] all, int from, int to, byte[] wanted) {
        for (int i = from; i + wanted.length <= to; i++) {
            int matched = 0;
            while (matched < wanted.length && all[i + matched] == wanted[matched]) {
                matched++;
            }
            if (matched == wanted.length) {
                return i;
            }
        }
        return -1;
    }
}
