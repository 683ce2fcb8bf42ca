package org.cicadahead.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.cicadahead.caller.CallerRequest;
import org.cicadahead.caller.RefusalException;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.Route;
import org.cicadahead.model.RouteName;
import org.cicadahead.protocol.HistoryRecord;

/** The payload of a chat completion request. */
final class ChatPayload implements RequestPayload {
    private static final String PATH = "/v1/chat/completions";
    private static final long DEFAULT_MAX_TOKENS = 4_096;
    /**
     * Number of bytes that are estimated as one token. On average, no tokenizer of the served models yields more than
     * one token per three bytes of JSON text.
     */
    private static final long BYTES_PER_TOKEN = 3;

    private final ObjectNode body;
    private final ArrayNode messages;
    private final boolean stream;
    private final boolean streamedByEndpoint;
    private final long maxTokens;
    private final RequestDigest digest;

    private ChatPayload(
            ObjectNode body,
            ArrayNode messages,
            boolean stream,
            boolean streamedByEndpoint,
            long maxTokens,
            RequestDigest digest) {
        this.body = body;
        this.messages = messages;
        this.stream = stream;
        this.streamedByEndpoint = streamedByEndpoint;
        this.maxTokens = maxTokens;
        this.digest = digest;
    }

    /**
     * Parses the body of a request. Its field "model" names the route; {@link #forRoute(Route)} replaces the name by
     * the model of the route.
     */
    static ChatPayload parse(CallerRequest request) throws RefusalException {
        JsonNode parsed;
        try {
            parsed = Json.read(request.body());
        } catch (IOException e) {
            throw malformed("The body is not valid JSON");
        }
        if (!(parsed instanceof ObjectNode object)) {
            throw malformed("The body must be a JSON object");
        }
        if (!(object.get("messages") instanceof ArrayNode messages) || !isNonEmptyArrayOfObjects(messages)) {
            throw malformed("messages must be an array of objects");
        }
        JsonNode stream = object.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw malformed("stream must be true or false");
        }
        ObjectNode digestInput = object.deepCopy();
        digestInput.remove(List.of("stream", "stream_options"));
        RequestDigest digest = Json.digest(Json.write(Json.canonical(digestInput)));
        boolean streamRequested = stream.asBoolean(false);
        return new ChatPayload(object, messages, streamRequested, streamRequested, maxTokens(object), digest);
    }

    /** Returns the route that the field "model" names. */
    RouteName route() throws RefusalException {
        JsonNode model = body.path("model");
        if (!model.isTextual()) {
            throw malformed("model must name a route");
        }
        try {
            return RouteName.of(model.textValue());
        } catch (IllegalArgumentException e) {
            throw new RefusalException(RefusalReason.ROUTE_UNKNOWN, "model does not name a route");
        }
    }

    ChatPayload forRoute(Route route) {
        ObjectNode copy = body.deepCopy();
        copy.put("model", route.model());
        if (!copy.hasNonNull("max_tokens") && !copy.hasNonNull("max_completion_tokens")) {
            copy.put("max_tokens", maxTokens);
        }
        if (!route.repeatable()) {
            copy.put("stream", false);
            copy.remove("stream_options");
        }
        return new ChatPayload(copy, messages, stream, stream && route.repeatable(), maxTokens, digest);
    }

    @Override
    public RequestDigest digest() {
        return digest;
    }

    @Override
    public boolean isStream() {
        return stream;
    }

    @Override
    public boolean isStreamedByEndpoint() {
        return streamedByEndpoint;
    }

    @Override
    public long maxTokens() {
        return maxTokens;
    }

    @Override
    public ResponseCollector collector() {
        return streamedByEndpoint ? new EventStreamCollector() : new BodyCollector(true);
    }

    @Override
    public EndpointCall call(List<HistoryRecord> history) {
        ArrayNode recorded = History.messages(history);
        ArrayNode newMessages = History.withoutRecorded(recorded, messages);
        ObjectNode copy = body.deepCopy();
        recorded.addAll(newMessages);
        copy.set("messages", recorded);
        byte[] bytes = Json.write(copy);
        return new EndpointCall(
                "POST",
                PATH,
                Map.of("content-type", "application/json"),
                bytes,
                Json.write(newMessages),
                estimateTokens(bytes.length));
    }

    static long estimateTokens(long bytes) {
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static long maxTokens(ObjectNode body) throws RefusalException {
        for (String name : List.of("max_tokens", "max_completion_tokens")) {
            JsonNode value = body.path(name);
            if (value.isMissingNode() || value.isNull()) {
                continue;
            }
            if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
                throw malformed(name + " must be a positive integer");
            }
            return value.longValue();
        }
        return DEFAULT_MAX_TOKENS;
    }

    private static boolean isNonEmptyArrayOfObjects(ArrayNode messages) {
        for (JsonNode message : messages) {
            if (!message.isObject()) {
                return false;
            }
        }
        return !messages.isEmpty();
    }

    private static RefusalException malformed(String detail) {
        return new RefusalException(RefusalReason.REQUEST_MALFORMED, detail);
    }
}
