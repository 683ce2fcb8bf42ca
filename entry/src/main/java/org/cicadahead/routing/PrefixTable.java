package org.cicadahead.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.ProgramKey;

/**
 * Records which endpoints have probably cached which prompt prefix. Bounded; the least recently used programs are
 * evicted.
 */
final class PrefixTable {
    private static final int MAX_PROGRAMS = 200_000;
    /**
     * Assumed share of the tokens cached for one program that its siblings reuse, as they have only the inherited
     * prefix in common.
     */
    private static final double SIBLING_SHARE = 0.5;

    private final Map<ProgramKey, Map<EndpointId, Long>> byProgram = boundedLruMap();
    private final Map<ProgramKey, Map<EndpointId, Long>> byRoot = boundedLruMap();

    void record(ProgramKey program, ProgramKey root, EndpointId endpoint, long tokens) {
        if (program == null) {
            return;
        }
        byProgram.computeIfAbsent(program, p -> new HashMap<>()).put(endpoint, tokens);
        byRoot.computeIfAbsent(root == null ? program : root, p -> new HashMap<>())
                .merge(endpoint, tokens, Math::max);
    }

    long cachedTokens(ProgramKey program, ProgramKey root, EndpointId endpoint) {
        if (program == null) {
            return 0;
        }
        long ownTokens = byProgram.getOrDefault(program, Map.of()).getOrDefault(endpoint, 0L);
        long siblingTokens =
                byRoot.getOrDefault(root == null ? program : root, Map.of()).getOrDefault(endpoint, 0L);
        return Math.max(ownTokens, (long) (siblingTokens * SIBLING_SHARE));
    }

    void removeEndpoint(EndpointId endpoint) {
        byProgram.values().forEach(tokens -> tokens.remove(endpoint));
        byRoot.values().forEach(tokens -> tokens.remove(endpoint));
    }

    private static Map<ProgramKey, Map<EndpointId, Long>> boundedLruMap() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<ProgramKey, Map<EndpointId, Long>> eldest) {
                return size() > MAX_PROGRAMS;
            }
        };
    }
}
