package org.cicadahead.engine;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.util.ArrayList;
import java.util.Enumeration;
import java.util.LinkedList;
import java.util.List;
import org.cicadahead.wire.Codec;
import org.eclipse.jetty.client.InputStreamRequestContent;

/**
 * The request body of a caller with some top-level fields replaced, as request content that can be read once. It refers
 * to the caller's bytes instead of copying them and drops its references as they are read, because bodies are up to
 * 4 MiB large and the process has a heap of 32 MB.
 */
final class SplicedBody extends InputStreamRequestContent {
    private static final int MAX_FIELDS = 256;

    private final long length;

    private record Slice(int from, int to) {}

    /** Removes each part when it is returned, so that the part can be garbage-collected. */
    private record ConsumingEnumeration(LinkedList<InputStream> parts) implements Enumeration<InputStream> {
        @Override
        public boolean hasMoreElements() {
            return !parts.isEmpty();
        }

        @Override
        public InputStream nextElement() {
            return parts.removeFirst();
        }
    }

    private SplicedBody(InputStream stream, long length) {
        super("application/json", stream);
        this.length = length;
    }

    /** Returns the body with {@code newFields} in place of the caller's fields with the names in {@code replaced}. */
    static SplicedBody of(byte[] body, List<String> replaced, byte[] newFields) throws EngineException {
        List<Slice> kept;
        try {
            kept = keptFields(body, replaced);
        } catch (IOException e) {
            throw new EngineException(EngineException.Kind.INVALID, "the request body is not valid JSON", e);
        }
        ByteArrayOutputStream start = new ByteArrayOutputStream(newFields.length + 1);
        start.write('{');
        start.writeBytes(newFields);
        LinkedList<InputStream> parts = new LinkedList<>();
        parts.add(new ByteArrayInputStream(start.toByteArray()));
        long length = start.size();
        for (Slice slice : kept) {
            parts.add(new ByteArrayInputStream(new byte[] {','}));
            parts.add(new ByteArrayInputStream(body, slice.from(), slice.to() - slice.from()));
            length += slice.to() - slice.from() + 1;
        }
        parts.add(new ByteArrayInputStream(new byte[] {'}'}));
        return new SplicedBody(new SequenceInputStream(new ConsumingEnumeration(parts)), length + 1);
    }

    @Override
    public long getLength() {
        return length;
    }

    private static List<Slice> keptFields(byte[] body, List<String> replaced) throws IOException, EngineException {
        List<Slice> kept = new ArrayList<>();
        try (JsonParser in = Codec.json().getFactory().createParser(body)) {
            require(in.nextToken() == JsonToken.START_OBJECT, "the request body is not a JSON object");
            int from = -1;
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                int start = offset(in);
                require(
                        isAt(body, start, '"') && kept.size() < MAX_FIELDS,
                        "the request body is not UTF-8 or has too many fields");
                if (from >= 0) {
                    kept.add(new Slice(from, endBefore(body, start, ',')));
                }
                from = replaced.contains(in.currentName()) ? -1 : start;
                in.nextToken();
                in.skipChildren();
            }
            require(in.currentToken() == JsonToken.END_OBJECT, "the request body is not a JSON object");
            int end = offset(in);
            require(isAt(body, end, '}'), "the request body is not UTF-8");
            if (from >= 0) {
                kept.add(new Slice(from, end));
            }
            require(in.nextToken() == null, "the request body has more than one JSON value");
        }
        return kept;
    }

    private static int offset(JsonParser in) {
        return (int) in.currentTokenLocation().getByteOffset();
    }

    /**
     * Returns whether the byte at an offset is the expected one. This detects encodings other than UTF-8, for which the
     * parser does not report byte offsets.
     */
    private static boolean isAt(byte[] body, int offset, char expected) {
        return offset >= 0 && offset < body.length && body[offset] == expected;
    }

    /** Returns the offset of the separator before the field that starts at {@code start}. */
    private static int endBefore(byte[] body, int start, char separator) throws EngineException {
        int end = start - 1;
        while (end > 0 && body[end] != separator) {
            require(
                    Character.isWhitespace(body[end]),
                    "the request body has an unexpected character before a separator");
            end--;
        }
        return end;
    }

    private static void require(boolean condition, String message) throws EngineException {
        if (!condition) {
            throw new EngineException(EngineException.Kind.INVALID, message, null);
        }
    }
}
