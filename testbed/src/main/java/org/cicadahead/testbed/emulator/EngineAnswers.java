package org.cicadahead.testbed.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.cicadahead.wire.Codec;

/**
 * The answers of an emulated engine. They depend only on the last message, so that a test can tell whether an answer
 * belongs to its request, whichever engine gave it.
 */
public final class EngineAnswers {

    private EngineAnswers() {}

    /**
     * Returns the content of the answer to a message.
     *
     * @param lastMessage the content of the last message of the request
     * @param tokens how many tokens the answer has
     * @return the content
     */
    public static String content(String lastMessage, long tokens) {
        StringBuilder text = new StringBuilder();
        for (long i = 0; i < tokens; i++) {
            text.append(token(lastMessage, i));
        }
        return text.toString();
    }

    static String token(String lastMessage, long index) {
        int mixed = (lastMessage.hashCode() + 31 * Long.hashCode(index)) * 0x9E3779B1;
        return String.format("%03x ", mixed >>> 20);
    }

    static byte[] event(long offset, ObjectNode data) {
        return ("id: " + offset + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    static ObjectNode chunk(String run, String model, String content) {
        ObjectNode node = head(run, model, "chat.completion.chunk");
        ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", content);
        choice.putNull("finish_reason");
        return node;
    }

    static ObjectNode last(String run, String model, long prompt, long cached, long completion) {
        ObjectNode node = head(run, model, "chat.completion.chunk");
        ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", "stop");
        usage(node, prompt, cached, completion);
        return node;
    }

    static ObjectNode whole(String run, String model, String content, long prompt, long cached, long completion) {
        ObjectNode node = head(run, model, "chat.completion");
        ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", content);
        choice.put("finish_reason", "stop");
        usage(node, prompt, cached, completion);
        return node;
    }

    /** Returns the prompt as one text, of which equal beginnings share cache blocks. */
    static String prompt(JsonNode messages) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            text.append(
                    turn(message.path("role").asText(), message.path("content").asText()));
        }
        return text.toString();
    }

    static String turn(String role, String content) {
        return role + ":" + content + "\n";
    }

    private static ObjectNode head(String run, String model, String object) {
        return Codec.json()
                .createObjectNode()
                .put("id", run)
                .put("object", object)
                .put("model", model);
    }

    private static void usage(ObjectNode node, long prompt, long cached, long completion) {
        ObjectNode usage = node.putObject("usage")
                .put("prompt_tokens", prompt)
                .put("completion_tokens", completion)
                .put("total_tokens", prompt + completion);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cached);
    }
}
