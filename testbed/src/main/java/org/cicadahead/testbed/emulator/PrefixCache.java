package org.cicadahead.testbed.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A prefix cache in blocks of tokens with least-recently-used eviction. Not safe for use by several threads.
 *
 * <p>A block is found by the hash of all text up to its end, so that programs with equal prefixes share blocks. A block
 * has owners and goes when its last owner is released.
 */
final class PrefixCache {
    static final int BLOCK_TOKENS = 16;
    static final int CHARS_PER_TOKEN = 4;
    private static final int BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN;

    private final long capacityTokens;
    private final LinkedHashMap<Long, Set<String>> blocks = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, Set<Long>> owned = new HashMap<>();
    private final Map<String, List<Long>> exported = new HashMap<>();
    private long evictedTokens;

    PrefixCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns the hashes of the whole blocks of a text. */
    static List<Long> hashes(CharSequence text) {
        List<Long> hashes = new ArrayList<>(text.length() / BLOCK_CHARS);
        long hash = 1125899906842597L;
        for (int i = 0; i < text.length(); i++) {
            hash = 31 * hash + text.charAt(i);
            if ((i + 1) % BLOCK_CHARS == 0) {
                hashes.add(hash * 0x9E3779B97F4A7C15L + i);
            }
        }
        return hashes;
    }

    /** Returns how many tokens of a prompt are cached, and marks them as used, the first block last. */
    long lookup(List<Long> prompt) {
        int found = 0;
        while (found < prompt.size() && blocks.containsKey(prompt.get(found))) {
            found++;
        }
        for (int i = found - 1; i >= 0; i--) {
            blocks.get(prompt.get(i));
        }
        return (long) found * BLOCK_TOKENS;
    }

    /** Caches a prompt for an owner; blocks near the end are evicted before those near the start. */
    void put(String owner, List<Long> prompt) {
        for (int i = prompt.size() - 1; i >= 0; i--) {
            Long hash = prompt.get(i);
            blocks.computeIfAbsent(hash, h -> new HashSet<>()).add(owner);
            blocks.get(hash);
            owned.computeIfAbsent(owner, o -> new HashSet<>()).add(hash);
        }
        while (tokens() > capacityTokens && !blocks.isEmpty()) {
            evict(blocks.keySet().iterator().next());
        }
    }

    /** Releases what only an owner holds. */
    void release(String owner) {
        exported.remove(owner);
        for (Long hash : owned.getOrDefault(owner, Set.of())) {
            Set<String> owners = blocks.get(hash);
            owners.remove(owner);
            if (owners.isEmpty()) {
                blocks.remove(hash);
            }
        }
        owned.remove(owner);
    }

    /** Moves an owner's blocks to host storage; returns the tokens, or -1 if it has none. */
    long exportOwner(String owner) {
        Set<Long> held = owned.get(owner);
        if (held == null) {
            return -1;
        }
        List<Long> copy = new ArrayList<>(held);
        release(owner);
        exported.put(owner, copy);
        return (long) copy.size() * BLOCK_TOKENS;
    }

    /** Moves an owner's blocks back; returns the tokens, or -1 if it has none in host storage. */
    long importOwner(String owner) {
        List<Long> held = exported.remove(owner);
        if (held == null) {
            return -1;
        }
        put(owner, held);
        return (long) held.size() * BLOCK_TOKENS;
    }

    long tokens() {
        return (long) blocks.size() * BLOCK_TOKENS;
    }

    long evictedTokens() {
        return evictedTokens;
    }

    /** Returns the tokens of each owner; shared blocks count for each of their owners. */
    Map<String, Long> owners() {
        Map<String, Long> result = new TreeMap<>(Comparator.naturalOrder());
        owned.forEach((owner, held) -> result.put(owner, (long) held.size() * BLOCK_TOKENS));
        exported.forEach((owner, held) -> result.merge(owner, 0L, Long::sum));
        return result;
    }

    private void evict(Long hash) {
        for (String owner : blocks.remove(hash)) {
            Set<Long> held = owned.get(owner);
            held.remove(hash);
            if (held.isEmpty()) {
                owned.remove(owner);
            }
        }
        evictedTokens += BLOCK_TOKENS;
    }
}
