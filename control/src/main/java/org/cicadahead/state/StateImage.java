package org.cicadahead.state;

import java.util.List;

/**
 * All replicated tables as values, for snapshots. Immutable.
 *
 * @param lastFence the last fencing token
 * @param lastMillis the leader time of the last command
 * @param configuration the configuration
 * @param programs the programs
 * @param claims the claims in order of their last change
 * @param poison the poison digests
 */
public record StateImage(
        long lastFence,
        long lastMillis,
        ConfigurationTable.ConfigurationImage configuration,
        ProgramTable.ProgramsImage programs,
        List<Claim> claims,
        PoisonDigests.PoisonImage poison) {}
