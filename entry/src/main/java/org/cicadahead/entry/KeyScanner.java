package org.cicadahead.entry;

import java.nio.charset.StandardCharsets;
import org.cicadahead.model.KeyDigests;

/** Finds valid keys in the path, headers and body of a call, so that no key is forwarded to an endpoint. */
final class KeyScanner {
    private static final String PREFIX = "ck_";
    /** Length of a key: the prefix and 32 bytes in base64url. */
    private static final int KEY_LENGTH = 46;

    private KeyScanner() {}

    /** Returns whether the path, a header or the body contains a key of any organisation. */
    static boolean containsKey(RequestPayload.EndpointCall call, ConfigurationReplica replica) {
        String body = new String(call.body(), StandardCharsets.ISO_8859_1);
        return containsKey(call.path(), replica)
                || containsKey(decoded(call.path()), replica)
                || call.headers().values().stream().anyMatch(value -> containsKey(value, replica))
                || containsKey(body, replica)
                || containsKey(decoded(body), replica);
    }

    private static boolean containsKey(String text, ConfigurationReplica replica) {
        for (int at = text.indexOf(PREFIX); at >= 0; at = text.indexOf(PREFIX, at + 1)) {
            if (at + KEY_LENGTH > text.length()) {
                return false;
            }
            String candidate = text.substring(at, at + KEY_LENGTH);
            if (replica.key(KeyDigests.of(candidate)).isPresent()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Decodes percent-encoding and JSON escapes of four hexadecimal digits, as an endpoint that decodes the text would
     * obtain the key. All other text, including malformed escapes, is kept unchanged.
     */
    private static String decoded(String text) {
        if (text.indexOf('%') < 0 && !text.contains("\\u")) {
            return text;
        }
        StringBuilder decoded = new StringBuilder(text.length());
        int at = 0;
        while (at < text.length()) {
            int prefix = text.charAt(at) == '%' ? 1 : text.startsWith("\\u", at) ? 2 : 0;
            int code = prefix == 0 ? -1 : hexadecimal(text, at + prefix, prefix == 1 ? 2 : 4);
            decoded.append(code < 0 ? text.charAt(at) : (char) code);
            at += code < 0 ? 1 : prefix == 1 ? 3 : 6;
        }
        return decoded.toString();
    }

    /** Parses the given number of hexadecimal digits. Returns -1 if there are fewer. */
    private static int hexadecimal(String text, int from, int count) {
        if (from + count > text.length()) {
            return -1;
        }
        int value = 0;
        for (int at = from; at < from + count; at++) {
            int digit = Character.digit(text.charAt(at), 16);
            if (digit < 0) {
                return -1;
            }
            value = value * 16 + digit;
        }
        return value;
    }
}
