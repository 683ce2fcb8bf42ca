package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * Identifies a request that callers send repeatedly: by its organisation, method, target and body. The target is the
 * path with or without the query.
 *
 * <p>The text begins with a summary of 32 bits that is cheap to compute, so that a table of fingerprints can tell for
 * most requests that it does not hold theirs. A part of a SHA-256 digest follows. Immutable and thread-safe.
 *
 * @param value the text, which matches {@code [0-9a-f]{8}-[0-9a-f]{32}}
 */
public record RequestFingerprint(@JsonValue String value) implements Comparable<RequestFingerprint> {
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{8}-[0-9a-f]{32}");
    private static final int SUMMARY_LENGTH = 8;
    private static final int DIGEST_BYTES = 16;
    private static final int HASH_FACTOR = 31;

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    public RequestFingerprint {
        Names.check(value, PATTERN, "request fingerprint");
    }

    /**
     * Returns the fingerprint with the given text.
     *
     * @param value the text
     * @return the fingerprint
     * @throws IllegalArgumentException if the text is null or does not match the pattern
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static RequestFingerprint of(String value) {
        return new RequestFingerprint(value);
    }

    /**
     * Returns the fingerprint of a request.
     *
     * @param organisation the name of its organisation; empty if it has none
     * @param method the HTTP method
     * @param target the path, and the query if it identifies the request
     * @param body the body
     * @return the fingerprint
     */
    public static RequestFingerprint of(String organisation, String method, String target, byte[] body) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
        for (String part : new String[] {organisation, method, target}) {
            digest.update(part.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
        }
        digest.update(body);
        HexFormat hex = HexFormat.of();
        return new RequestFingerprint(
                hex.toHexDigits(summary(target, body.length)) + "-" + hex.formatHex(digest.digest(), 0, DIGEST_BYTES));
    }

    /**
     * Returns the summary that the fingerprints of all requests with a target and a body size have in common.
     *
     * @param target the path, and the query if it identifies the request
     * @param bodyBytes the size of the body, in bytes
     * @return the summary
     */
    public static int summary(String target, int bodyBytes) {
        return HASH_FACTOR * target.hashCode() + bodyBytes;
    }

    /**
     * Returns the summary with which this fingerprint begins.
     *
     * @return the summary
     */
    public int summary() {
        return HexFormat.fromHexDigits(value, 0, SUMMARY_LENGTH);
    }

    @Override
    public int compareTo(RequestFingerprint other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
