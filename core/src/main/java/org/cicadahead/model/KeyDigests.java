package org.cicadahead.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the digests of API keys. */
public final class KeyDigests {
    private KeyDigests() {}

    /**
     * Returns the digest of an API key.
     *
     * @param key the key
     * @return its SHA-256 digest
     */
    public static KeyDigest of(String key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return KeyDigest.of(HexFormat.of().formatHex(hash));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform must support SHA-256", e);
        }
    }
}
