package org.cicadahead.engine;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cicadahead.protocol.Usage;
import org.cicadahead.wire.Codec;

/** Encodes JSON requests to engines and decodes their JSON responses. */
final class EngineBodies {
    private static final String RUN_ID = "run_id";
    private static final String CACHE_OWNER = "cache_owner";
    private static final String STREAM = "stream";

    private EngineBodies() {}

    /**
     * Returns the request body for the engine. The caller's fields {@code run_id}, {@code cache_owner} and
     * {@code stream} are replaced, because the caller could otherwise use the cache or the stream of another program.
     */
    static SplicedBody request(EngineRun run) throws EngineException {
        ObjectNode engineFields = Codec.json().createObjectNode();
        engineFields.put(STREAM, run.stream()).put(RUN_ID, run.run().value());
        if (run.owner() != null) {
            engineFields.put(CACHE_OWNER, run.owner());
        }
        String text = engineFields.toString();
        byte[] fields = text.substring(1, text.length() - 1).getBytes(StandardCharsets.UTF_8);
        return SplicedBody.of(run.body(), List.of(RUN_ID, CACHE_OWNER, STREAM), fields);
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

    /** Returns the token usage in a complete response or in an event, or null if there is none. */
    static Usage usage(byte[] text) {
        JsonNode usage = read(text).path("usage");
        if (!usage.isObject()) {
            return null;
        }
        return new Usage(
                usage.path("prompt_tokens").asLong(),
                usage.path("prompt_tokens_details").path("cached_tokens").asLong(),
                usage.path("completion_tokens").asLong());
    }

    /** Returns whether no choice of an event goes on. Some engines state the usage so far in every event. */
    static boolean isFinal(byte[] event) {
        for (JsonNode choice : read(event).path("choices")) {
            if (!choice.hasNonNull("finish_reason")) {
                return false;
            }
        }
        return true;
    }

    /** Returns the first JSON object in a text, or a missing node. */
    private static JsonNode read(byte[] text) {
        if (text == null) {
            return MissingNode.getInstance();
        }
        int start = 0;
        while (start < text.length && text[start] != '{') {
            start++;
        }
        try (JsonParser parser = Codec.json().getFactory().createParser(text, start, text.length - start)) {
            JsonNode root = Codec.json().reader().readTree(parser);
            return root == null ? MissingNode.getInstance() : root;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}
