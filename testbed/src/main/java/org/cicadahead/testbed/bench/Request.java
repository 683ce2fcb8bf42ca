package org.cicadahead.testbed.bench;

import java.util.List;
import org.cicadahead.model.ProgramKey;

/**
 * One turn on its way to an engine. Immutable.
 *
 * @param key the program
 * @param root the root program
 * @param relatives the owners whose cache may hold the inherited prefix
 * @param organisation the number of the organisation
 * @param inheritedTokens the prefix that it shares with its relatives
 * @param promptTokens the whole prompt
 * @param attainedTokens what its root program used before
 * @param turn the turn
 */
record Request(
        ProgramKey key,
        ProgramKey root,
        List<ProgramKey> relatives,
        int organisation,
        long inheritedTokens,
        long promptTokens,
        long attainedTokens,
        Workload.Turn turn) {}
