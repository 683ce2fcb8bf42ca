package org.cicadahead.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.cicadahead.model.RequestDigest;

/** Reads and writes the JSON of request and response bodies. */
final class Json {
    private static final int MAX_DEPTH = 200;
    private static final JsonMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

    private Json() {}

    static JsonNode read(byte[] bytes) throws IOException {
        JsonNode node = MAPPER.readTree(bytes);
        if (node == null || node.isMissingNode()) {
            throw new IOException("the input contains no JSON value");
        }
        return node;
    }

    static byte[] write(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A JSON tree could not be serialized", e);
        }
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /**
     * Returns the canonical form of a value, with sorted member names and without null members, so that values of equal
     * content are equal.
     */
    static JsonNode canonical(JsonNode node) {
        if (node.isArray()) {
            ArrayNode array = array();
            node.forEach(element -> array.add(canonical(element)));
            return array;
        }
        if (!node.isObject()) {
            return node;
        }
        ObjectNode object = object();
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        names.sort(null);
        for (String name : names) {
            if (!node.get(name).isNull()) {
                object.set(name, canonical(node.get(name)));
            }
        }
        return object;
    }

    /**
     * Returns the digest of a sequence of parts. The length of each part is included, so that moving a boundary between
     * parts changes the digest.
     */
    static RequestDigest digest(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update((part.length + ":").getBytes(StandardCharsets.US_ASCII));
                digest.update(part);
            }
            return RequestDigest.of(HexFormat.of().formatHex(digest.digest()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
