package org.cicadahead.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.cicadahead.protocol.RunEnd;

/** Collects the events of a streamed chat completion and merges them into a completion object. */
final class EventStreamCollector implements ResponseCollector {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final ByteArrayOutputStream unparsed = new ByteArrayOutputStream();
    private final Map<Integer, Choice> choices = new TreeMap<>();
    private ObjectNode envelope;
    private JsonNode usage;
    private long bytes;

    private static final class Choice {
        private final ObjectNode message = Json.object();
        private final StringBuilder content = new StringBuilder();
        private final Map<Integer, ObjectNode> toolCalls = new TreeMap<>();
        private boolean hasContent;
        private JsonNode finishReason;
    }

    @Override
    public byte[] accept(byte[] data) throws InvalidResponseException {
        bytes += data.length;
        unparsed.writeBytes(data);
        // In ISO 8859-1, each byte is one character, so a multi-byte character split between chunks is preserved.
        String text = unparsed.toString(StandardCharsets.ISO_8859_1);
        int end = text.lastIndexOf("\n\n");
        if (end < 0) {
            return new byte[0];
        }
        StringBuilder relayed = new StringBuilder();
        for (String event : text.substring(0, end).split("\n\n")) {
            if (mergeEvent(event)) {
                relayed.append(event).append("\n\n");
            }
        }
        if (envelope == null) {
            // The status is known only at the end: without an event of a completion, this may be the text of a failure.
            return new byte[0];
        }
        unparsed.reset();
        unparsed.writeBytes(text.substring(end + 2).getBytes(StandardCharsets.ISO_8859_1));
        return relayed.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public RecordedResponse finish(RunEnd end) throws InvalidResponseException {
        if (!RecordedResponse.isSuccess(end.status())) {
            return new RecordedResponse(false, end.status(), end.contentType(), unparsed.toByteArray());
        }
        if (!isStream(end.contentType())) {
            throw new InvalidResponseException("the answer is not a stream");
        }
        if (envelope == null || unparsed.size() > 0) {
            throw new InvalidResponseException("the stream ended within an event");
        }
        ObjectNode completion = envelope.deepCopy();
        completion.put("object", "chat.completion");
        ArrayNode list = Json.array();
        choices.forEach((index, choice) -> list.add(toCompletionChoice(index, choice)));
        completion.set("choices", list);
        if (usage != null) {
            completion.set("usage", usage);
        }
        return new RecordedResponse(true, end.status(), "application/json", Json.write(completion));
    }

    @Override
    public long bytes() {
        return bytes;
    }

    /** Returns whether the endpoint daemon has checked that a response of a media type has its last event. */
    private static boolean isStream(String contentType) {
        return contentType != null && contentType.startsWith("text/event-stream");
    }

    /** Parses and merges an event. Returns false for the final event, which the entry sends itself at the end. */
    private boolean mergeEvent(String event) throws InvalidResponseException {
        StringBuilder data = new StringBuilder();
        for (String line : event.split("\n")) {
            if (line.startsWith(DATA)) {
                data.append(line.substring(DATA.length()).trim());
            }
        }
        if (data.toString().equals(DONE)) {
            return false;
        }
        if (data.length() == 0) {
            return true;
        }
        try {
            merge(Json.read(data.toString().getBytes(StandardCharsets.ISO_8859_1)));
            return true;
        } catch (IOException e) {
            throw new InvalidResponseException("an event of the stream is not valid JSON");
        }
    }

    private void merge(JsonNode event) throws InvalidResponseException {
        if (event.hasNonNull("error")) {
            throw new InvalidResponseException("the engine reported an error within the stream");
        }
        if (envelope == null && event instanceof ObjectNode object) {
            envelope = object.deepCopy();
            envelope.remove("choices");
            envelope.remove("usage");
        }
        if (event.hasNonNull("usage")) {
            usage = event.get("usage");
        }
        for (JsonNode part : event.path("choices")) {
            Choice choice = choices.computeIfAbsent(part.path("index").asInt(), index -> new Choice());
            if (part.hasNonNull("finish_reason")) {
                choice.finishReason = part.get("finish_reason");
            }
            part.path("delta").properties().forEach(field -> merge(choice, field.getKey(), field.getValue()));
        }
    }

    private static void merge(Choice choice, String name, JsonNode value) {
        if (name.equals("content")) {
            choice.hasContent |= value.isTextual();
            choice.content.append(value.asText(""));
        } else if (name.equals("tool_calls")) {
            value.forEach(call -> mergeToolCall(choice, call));
        } else if (!value.isNull()) {
            choice.message.set(name, value);
        }
    }

    private static void mergeToolCall(Choice choice, JsonNode part) {
        ObjectNode call = choice.toolCalls.computeIfAbsent(part.path("index").asInt(), index -> Json.object());
        part.properties().forEach(field -> {
            if (!field.getKey().equals("index") && !field.getKey().equals("function")) {
                call.set(field.getKey(), field.getValue());
            }
        });
        JsonNode function = part.path("function");
        ObjectNode merged = call.withObject("/function");
        if (function.hasNonNull("name")) {
            merged.put("name", function.get("name").asText());
        }
        if (function.hasNonNull("arguments")) {
            merged.put(
                    "arguments",
                    merged.path("arguments").asText("")
                            + function.get("arguments").asText());
        }
    }

    private static ObjectNode toCompletionChoice(int index, Choice choice) {
        ObjectNode message = choice.message.deepCopy();
        if (!message.hasNonNull("role")) {
            message.put("role", "assistant");
        }
        if (choice.hasContent || choice.toolCalls.isEmpty()) {
            message.put("content", choice.content.toString());
        }
        if (!choice.toolCalls.isEmpty()) {
            ArrayNode calls = Json.array();
            choice.toolCalls.values().forEach(calls::add);
            message.set("tool_calls", calls);
        }
        ObjectNode merged = Json.object();
        merged.put("index", index);
        merged.set("message", message);
        merged.set("finish_reason", choice.finishReason);
        return merged;
    }
}
