package org.cicadahead.engine;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cicadahead.protocol.Usage;
import org.cicadahead.wire.Codec;

/** Reads and writes the JSON of engines. */
final class EngineBodies {
    private static final String RUN_ID = "run_id";
    private static final String CACHE_OWNER = "cache_owner";
    private static final String STREAM = "stream";

    private EngineBodies() {}

    /**
     * Returns the body for the engine. Fields of the caller with the names of ours are dropped, as a caller could
     * otherwise use the cache or the stream of another program.
     */
    static byte[] request(EngineRun run) throws EngineException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(run.body().length + 256);
        try (JsonParser in = Codec.json().getFactory().createParser(run.body());
                JsonGenerator json = Codec.json().getFactory().createGenerator(out)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new EngineException(EngineException.Kind.INVALID, "the body is not a JSON object", null);
            }
            json.writeStartObject();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                if (name.equals(RUN_ID) || name.equals(CACHE_OWNER) || name.equals(STREAM)) {
                    in.skipChildren();
                } else {
                    json.writeFieldName(name);
                    json.copyCurrentStructure(in);
                }
            }
            json.writeBooleanField(STREAM, run.stream());
            json.writeStringField(RUN_ID, run.run().value());
            if (run.owner() != null) {
                json.writeStringField(CACHE_OWNER, run.owner());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new EngineException(EngineException.Kind.INVALID, "the body is not JSON", e);
        }
        return out.toByteArray();
    }

    static byte[] order(EngineOrder order) {
        return Codec.json()
                .createObjectNode()
                .put("fence", order.fence())
                .put("kind", order.kind().code())
                .put("argument", order.argument())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the usage in a whole answer or in an event, or null if there is none. */
    static Usage usage(byte[] text) {
        if (text == null) {
            return null;
        }
        int start = 0;
        while (start < text.length && text[start] != '{') {
            start++;
        }
        try (JsonParser parser = Codec.json().getFactory().createParser(text, start, text.length - start)) {
            JsonNode root = Codec.json().reader().readTree(parser);
            JsonNode usage = root == null ? null : root.path("usage");
            if (usage == null || !usage.isObject()) {
                return null;
            }
            return new Usage(
                    usage.path("prompt_tokens").asLong(),
                    usage.path("prompt_tokens_details").path("cached_tokens").asLong(),
                    usage.path("completion_tokens").asLong());
        } catch (IOException e) {
            return null;
        }
    }
}
