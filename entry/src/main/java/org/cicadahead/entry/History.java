package org.cicadahead.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import org.cicadahead.protocol.HistoryRecord;

/** Turns the recorded steps of a program into messages. */
final class History {
    private History() {}

    /** Returns the messages of recorded steps, in order. */
    static ArrayNode messages(List<HistoryRecord> records) {
        ArrayNode messages = Json.array();
        for (HistoryRecord record : records) {
            try {
                if (Json.read(record.request()) instanceof ArrayNode request) {
                    messages.addAll(request);
                }
                ObjectNode answer = RecordedResponse.decode(record.answer()).message();
                if (answer != null) {
                    messages.add(answer);
                }
            } catch (IOException e) {
                throw new IllegalStateException("The record of step " + record.step() + " cannot be read", e);
            }
        }
        return messages;
    }

    /** Returns the messages of a request without the recorded ones, if it starts with all of them. */
    static ArrayNode withoutRecorded(ArrayNode recorded, ArrayNode sent) {
        if (recorded.isEmpty() || sent.size() <= recorded.size()) {
            return sent.deepCopy();
        }
        for (int i = 0; i < recorded.size(); i++) {
            if (!same(recorded.get(i), sent.get(i))) {
                return sent.deepCopy();
            }
        }
        ArrayNode fresh = Json.array();
        for (int i = recorded.size(); i < sent.size(); i++) {
            fresh.add(sent.get(i));
        }
        return fresh;
    }

    private static boolean same(JsonNode a, JsonNode b) {
        return Json.canonical(a).equals(Json.canonical(b));
    }
}
