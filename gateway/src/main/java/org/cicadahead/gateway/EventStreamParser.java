package org.cicadahead.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a stream of server-sent events into complete events. Not thread-safe.
 *
 * <p>Lines end with LF or CR LF. Multiple data lines of an event are joined by a line feed, as the format requires. The
 * bytes of a chunk are copied as a whole and searched for line ends, because an entry that has just started interprets
 * this code for each byte.
 */
final class EventStreamParser {
    /** The maximum size of an event, in bytes; a stream with a larger event is treated as broken. */
    static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final int INITIAL_BYTES = 512;
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    /** The partial event, from index 0 to {@link #size}. */
    private byte[] buffer = new byte[INITIAL_BYTES];

    private int size;
    private int lineStart;
    private byte[] data;
    private long id = -1;

    /** Parses a chunk of the stream and returns the events that it completes. */
    List<StreamEvent> feed(byte[] chunk) {
        append(chunk);
        List<StreamEvent> events = new ArrayList<>();
        int eventStart = 0;
        for (int i = size - chunk.length; i < size; i++) {
            if (buffer[i] != '\n') {
                continue;
            }
            int lineEnd = i > lineStart && buffer[i - 1] == '\r' ? i - 1 : i;
            if (lineEnd == lineStart) {
                events.add(new StreamEvent(Arrays.copyOfRange(buffer, eventStart, i + 1), id, data));
                eventStart = i + 1;
                data = null;
                id = -1;
            } else {
                parseField(lineStart, lineEnd);
            }
            lineStart = i + 1;
        }
        discard(eventStart);
        return events;
    }

    /** Returns whether the buffer holds a partial event. */
    boolean hasPartialEvent() {
        return size > 0;
    }

    boolean isTooLarge() {
        return size > MAX_EVENT_BYTES;
    }

    /** Returns the memory that the partial event occupies, in bytes. */
    int bufferedBytes() {
        return size;
    }

    private void append(byte[] chunk) {
        if (size + chunk.length > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + chunk.length));
        }
        System.arraycopy(chunk, 0, buffer, size, chunk.length);
        size += chunk.length;
    }

    /** Removes the complete events at the beginning of the buffer. */
    private void discard(int count) {
        if (count > 0) {
            System.arraycopy(buffer, count, buffer, 0, size - count);
            size -= count;
            lineStart -= count;
        }
    }

    private void parseField(int start, int end) {
        if (startsWith(DATA, start, end)) {
            byte[] value = Arrays.copyOfRange(buffer, valueStart(DATA, start, end), end);
            data = data == null ? value : join(data, value);
        } else if (startsWith(ID, start, end)) {
            int valueStart = valueStart(ID, start, end);
            String text = new String(buffer, valueStart, end - valueStart, StandardCharsets.ISO_8859_1);
            try {
                id = Long.parseLong(text.trim());
            } catch (NumberFormatException e) {
                // The format allows any text as an id, but only numeric ids are ordered, which resuming a stream
                // requires.
                id = -1;
            }
        }
    }

    private boolean startsWith(byte[] name, int start, int end) {
        return end - start >= name.length && Arrays.equals(buffer, start, start + name.length, name, 0, name.length);
    }

    /** Returns the index of the value of a field, after at most one space. */
    private int valueStart(byte[] name, int start, int end) {
        int index = start + name.length;
        return index < end && buffer[index] == ' ' ? index + 1 : index;
    }

    private static byte[] join(byte[] first, byte[] second) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(first.length + second.length + 1);
        joined.writeBytes(first);
        joined.write('\n');
        joined.writeBytes(second);
        return joined.toByteArray();
    }
}
