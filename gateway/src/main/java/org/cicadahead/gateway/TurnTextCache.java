package org.cicadahead.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An LRU cache of the texts of turn chains. It holds the chains whose last turn this entry completed, so that the next
 * turn need not load their texts from the stores. Thread-safe.
 */
final class TurnTextCache {
    /** The capacity in bytes; enough for a few hundred chains of 40 KB each. */
    static final long MAX_BYTES = 12L * 1024 * 1024;

    private final Map<String, byte[]> texts = new LinkedHashMap<>(16, 0.75f, true);
    private long sizeBytes;

    /** Returns the text of the chain that ends with the given turn, or null if it is not cached. */
    synchronized byte[] find(String turn) {
        return texts.get(turn);
    }

    synchronized void put(String turn, byte[] text) {
        byte[] before = texts.put(turn, text);
        sizeBytes += text.length - (before == null ? 0 : before.length);
        var oldest = texts.entrySet().iterator();
        while (sizeBytes > MAX_BYTES && oldest.hasNext()) {
            sizeBytes -= oldest.next().getValue().length;
            oldest.remove();
        }
    }
}
