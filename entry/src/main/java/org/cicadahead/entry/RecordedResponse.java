package org.cicadahead.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import org.cicadahead.protocol.Outcome;

/**
 * A response in the form that is recorded in the history of a program. Immutable.
 *
 * @param chat true for a chat completion; its body is a completion object even if the response was streamed
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body
 * @param placement the placement of the request, or null if unknown
 */
record RecordedResponse(boolean chat, int status, String contentType, byte[] body, Placement placement) {

    RecordedResponse {
        contentType = contentType == null || contentType.isEmpty() ? "application/json" : contentType;
    }

    RecordedResponse(boolean chat, int status, String contentType, byte[] body) {
        this(chat, status, contentType, body, null);
    }

    static RecordedResponse of(Outcome outcome, boolean chat) {
        return new RecordedResponse(
                chat && isSuccess(outcome.status()),
                outcome.status(),
                outcome.contentType(),
                outcome.body(),
                outcome.endpoint() == null ? null : Placement.of(outcome.endpoint(), null, Map.of()));
    }

    static boolean isSuccess(int status) {
        return status >= 200 && status < 300;
    }

    static RecordedResponse decode(byte[] bytes) throws IOException {
        JsonNode json = Json.read(bytes);
        JsonNode body = json.path("body");
        return new RecordedResponse(
                json.path("chat").asBoolean(),
                json.path("status").asInt(),
                json.path("content_type").asText(),
                body.isTextual() ? body.binaryValue() : Json.write(body));
    }

    /** Returns a copy with the given placement. */
    RecordedResponse withPlacement(Placement newPlacement) {
        return new RecordedResponse(chat, status, contentType, body, newPlacement);
    }

    /** Returns the encoded form, with chat completions as JSON and other bodies in base64. */
    byte[] encode() {
        ObjectNode json = Json.object();
        json.put("chat", chat);
        json.put("status", status);
        json.put("content_type", contentType);
        JsonNode completion = completion();
        if (completion == null) {
            json.put("body", body);
        } else {
            json.set("body", completion);
        }
        if (placement != null) {
            json.set("placement", placement.toJson());
        }
        return Json.write(json);
    }

    /** Returns the message of a chat completion, or null if the response has none. */
    ObjectNode message() {
        JsonNode completion = completion();
        if (completion == null) {
            return null;
        }
        JsonNode message = completion.path("choices").path(0).path("message");
        return message instanceof ObjectNode object ? object : null;
    }

    /** Returns the completion as a server-sent event, without the final event of the stream. */
    byte[] toEvent() {
        ObjectNode chunk = ((ObjectNode) completion()).deepCopy();
        chunk.put("object", "chat.completion.chunk");
        ArrayNode choices = Json.array();
        for (JsonNode choice : chunk.path("choices")) {
            ObjectNode copy = choice.deepCopy();
            copy.set("delta", copy.remove("message"));
            choices.add(copy);
        }
        chunk.set("choices", choices);
        return ChatPayload.utf8("data: " + chunk + "\n\n");
    }

    Map<String, String> headers() {
        return Map.of("Content-Type", contentType);
    }

    private JsonNode completion() {
        if (!chat) {
            return null;
        }
        try {
            JsonNode json = Json.read(body);
            return json.isObject() ? json : null;
        } catch (IOException e) {
            return null;
        }
    }
}
