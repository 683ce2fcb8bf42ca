package org.cicadahead.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

/** The texts of the chains that ended here last, so that the stores need not send them. Safe for several threads. */
final class TurnTextCache {
    /** The bytes that are kept; some hundred chains of 40 KB. */
    static final long MAX_BYTES = 12L * 1024 * 1024;

    private final Map<String, byte[]> texts = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    /** Returns the text of the chain that ends with a turn, or null. */
    synchronized byte[] find(String turn) {
        return texts.get(turn);
    }

    synchronized void put(String turn, byte[] text) {
        byte[] before = texts.put(turn, text);
        bytes += text.length - (before == null ? 0 : before.length);
        var oldest = texts.entrySet().iterator();
        while (bytes > MAX_BYTES && oldest.hasNext()) {
            bytes -= oldest.next().getValue().length;
            oldest.remove();
        }
    }
}
