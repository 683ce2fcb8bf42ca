package org.cicadahead.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import org.cicadahead.protocol.HistoryRecord;

/** Converts the recorded steps of a program to chat messages. */
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
                ObjectNode responseMessage =
                        RecordedResponse.decode(record.answer()).message();
                if (responseMessage != null) {
                    messages.add(responseMessage);
                }
            } catch (IOException e) {
                throw new IllegalStateException(
                        "The recorded messages of step " + record.step() + " cannot be decoded", e);
            }
        }
        return messages;
    }

    /**
     * Returns the messages that follow the recorded ones if a request repeats the whole history, or else all its
     * messages.
     */
    static ArrayNode withoutRecorded(ArrayNode recorded, ArrayNode sent) {
        if (recorded.isEmpty() || sent.size() <= recorded.size()) {
            return sent.deepCopy();
        }
        for (int i = 0; i < recorded.size(); i++) {
            if (!hasEqualContent(recorded.get(i), sent.get(i))) {
                return sent.deepCopy();
            }
        }
        ArrayNode newMessages = Json.array();
        for (int i = recorded.size(); i < sent.size(); i++) {
            newMessages.add(sent.get(i));
        }
        return newMessages;
    }

    private static boolean hasEqualContent(JsonNode a, JsonNode b) {
        return Json.canonical(a).equals(Json.canonical(b));
    }
}
