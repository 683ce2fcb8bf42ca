package org.cicadahead.state;

import java.util.List;

/**
 * The content of all replicated tables for a snapshot. Immutable.
 *
 * @param lastFence the last fencing token that was issued
 * @param lastMillis the leader time of the last command
 * @param configuration the configuration
 * @param programs the programs
 * @param claims the claims, ordered by their last change
 * @param poison the poison digests
 */
public record StateImage(
        long lastFence,
        long lastMillis,
        ConfigurationTable.ConfigurationImage configuration,
        ProgramTable.ProgramsImage programs,
        List<Claim> claims,
        PoisonDigests.PoisonImage poison) {}
