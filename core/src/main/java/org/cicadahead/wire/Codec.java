package org.cicadahead.wire;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes records as MessagePack and as JSON. Thread-safe.
 *
 * <p>The MessagePack decoder ignores unknown properties, so that daemons of different versions interoperate during a
 * rolling restart. JSON for operators uses snake case, and unknown properties are rejected.
 */
public final class Codec {
    private static final JsonInclude.Value NON_NULL =
            JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL);
    private static final ObjectMapper PACK = MessagePackMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .defaultPropertyInclusion(NON_NULL)
            .build();

    /** Initialised lazily, so that daemons that use no JSON do not spend time on it at start-up. */
    private static final class Json {
        private static final ObjectMapper MAPPER = JsonMapper.builder()
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .defaultPropertyInclusion(NON_NULL)
                .build();
    }

    private Codec() {}

    /**
     * Returns the mapper for the JSON that operators and callers send and receive.
     *
     * @return the mapper; it must not be reconfigured
     */
    public static ObjectMapper json() {
        return Json.MAPPER;
    }

    /**
     * Encodes a value as MessagePack.
     *
     * @param value the value
     * @return the bytes
     * @throws WireException if the value cannot be encoded
     */
    public static byte[] pack(Object value) throws WireException {
        try {
            return PACK.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new WireException(WireException.Kind.MALFORMED, "cannot encode " + value.getClass(), e);
        }
    }

    /**
     * Decodes a value from MessagePack.
     *
     * @param <T> the type of the value
     * @param bytes the bytes
     * @param type the class of the value
     * @return the value
     * @throws WireException if the bytes are not a valid encoding of such a value
     */
    public static <T> T unpack(byte[] bytes, Class<T> type) throws WireException {
        T value;
        try {
            value = PACK.readValue(bytes, type);
        } catch (IOException | RuntimeException e) {
            // The MessagePack parser throws unchecked exceptions of several types on corrupt input.
            throw new WireException(WireException.Kind.MALFORMED, "cannot decode " + type.getSimpleName(), e);
        }
        if (value == null) {
            throw new WireException(WireException.Kind.MALFORMED, type.getSimpleName() + " is nil");
        }
        return value;
    }
}
