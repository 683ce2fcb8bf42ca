package org.cicadahead.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of server-sent events into whole events. Not safe for use by several threads.
 *
 * <p>Lines end with LF or CR LF. Several data lines of an event are joined by a line feed, as the format says.
 */
final class EventStreamParser {
    /** The largest event, in bytes; more is taken for a broken stream. */
    static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final String DATA = "data:";
    private static final String ID = "id:";

    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private ByteArrayOutputStream data;
    private long id = -1;

    /** Takes a piece of the stream and returns the events that it completes. */
    List<StreamEvent> feed(byte[] piece) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte each : piece) {
            event.write(each);
            if (each != '\n') {
                line.write(each);
                continue;
            }
            String text = stripReturn(line.toString(StandardCharsets.ISO_8859_1));
            line.reset();
            if (text.isEmpty()) {
                finish(events);
            } else {
                field(text);
            }
        }
        return events;
    }

    /** Returns whether part of an event is left. */
    boolean hasRest() {
        return event.size() > 0;
    }

    boolean isTooLarge() {
        return event.size() > MAX_EVENT_BYTES;
    }

    private void finish(List<StreamEvent> events) {
        events.add(new StreamEvent(event.toByteArray(), id, data == null ? null : data.toByteArray()));
        event.reset();
        data = null;
        id = -1;
    }

    private void field(String text) {
        if (text.startsWith(DATA)) {
            byte[] value = value(text, DATA).getBytes(StandardCharsets.ISO_8859_1);
            if (data == null) {
                data = new ByteArrayOutputStream();
            } else {
                data.write('\n');
            }
            data.writeBytes(value);
        } else if (text.startsWith(ID)) {
            try {
                id = Long.parseLong(value(text, ID).trim());
            } catch (NumberFormatException e) {
                // The format allows any text as an id; only numbers tell the order.
                id = -1;
            }
        }
    }

    private static String value(String text, String name) {
        String value = text.substring(name.length());
        return value.startsWith(" ") ? value.substring(1) : value;
    }

    private static String stripReturn(String text) {
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
