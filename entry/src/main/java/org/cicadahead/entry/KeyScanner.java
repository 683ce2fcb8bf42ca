package org.cicadahead.entry;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import org.cicadahead.caller.KeyDigests;

/** Finds keys in what would reach an endpoint, wherever the caller put them. */
final class KeyScanner {
    private static final String PREFIX = "ck_";
    /** The prefix and 32 bytes in base64url. */
    private static final int KEY_LENGTH = 46;

    private KeyScanner() {}

    /** Returns whether the path, a header or the body holds a key that is valid for any organisation. */
    static boolean holdsKey(Work.Call call, ConfigurationReplica replica) {
        return holdsKey(call.path(), replica)
                || holdsKey(decoded(call.path()), replica)
                || call.headers().values().stream().anyMatch(value -> holdsKey(value, replica))
                || holdsKey(new String(call.body(), StandardCharsets.ISO_8859_1), replica);
    }

    private static boolean holdsKey(String text, ConfigurationReplica replica) {
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

    private static String decoded(String path) {
        try {
            return URLDecoder.decode(path, StandardCharsets.ISO_8859_1);
        } catch (IllegalArgumentException e) {
            return path;
        }
    }
}
