package org.cicadahead.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of server-sent events into complete events. Not thread-safe.
 *
 * <p>Lines end with LF or CR LF. Multiple data lines of an event are joined by a line feed, as the format requires.
 */
final class EventStreamParser {
    /** The maximum size of an event, in bytes; a stream with a larger event is treated as broken. */
    static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final String DATA = "data:";
    private static final String ID = "id:";

    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private ByteArrayOutputStream data;
    private long id = -1;

    /** Parses a chunk of the stream and returns the events that it completes. */
    List<StreamEvent> feed(byte[] chunk) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte each : chunk) {
            event.write(each);
            if (each != '\n') {
                line.write(each);
                continue;
            }
            String text = stripCarriageReturn(line.toString(StandardCharsets.ISO_8859_1));
            line.reset();
            if (text.isEmpty()) {
                finishEvent(events);
            } else {
                parseField(text);
            }
        }
        return events;
    }

    /** Returns whether the buffer holds a partial event. */
    boolean hasPartialEvent() {
        return event.size() > 0;
    }

    boolean isTooLarge() {
        return event.size() > MAX_EVENT_BYTES;
    }

    /** Returns the memory that the partial event occupies, in bytes. */
    int bufferedBytes() {
        return event.size() + line.size();
    }

    private void finishEvent(List<StreamEvent> events) {
        events.add(new StreamEvent(event.toByteArray(), id, data == null ? null : data.toByteArray()));
        event.reset();
        data = null;
        id = -1;
    }

    private void parseField(String text) {
        if (text.startsWith(DATA)) {
            byte[] value = fieldValue(text, DATA).getBytes(StandardCharsets.ISO_8859_1);
            if (data == null) {
                data = new ByteArrayOutputStream();
            } else {
                data.write('\n');
            }
            data.writeBytes(value);
        } else if (text.startsWith(ID)) {
            try {
                id = Long.parseLong(fieldValue(text, ID).trim());
            } catch (NumberFormatException e) {
                // The format allows any text as an id, but only numeric ids are ordered, which resuming a stream
                // requires.
                id = -1;
            }
        }
    }

    private static String fieldValue(String text, String name) {
        String value = text.substring(name.length());
        return value.startsWith(" ") ? value.substring(1) : value;
    }

    private static String stripCarriageReturn(String text) {
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
