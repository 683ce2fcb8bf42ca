package org.cicadahead.protocol;

/**
 * Answers {@link Sync}. A component that is null has not changed.
 *
 * @param leaseMillis the duration of the configuration lease, in milliseconds from the time when the request was sent
 * @param configuration changes of the configuration, or null
 * @param endpoints changes of the endpoint table, or null
 * @param ended programs that ended, or null
 * @param poison the poison table, or null
 * @param draining true if an operator asked this daemon to drain
 */
public record SyncReply(
        long leaseMillis,
        ConfigurationDelta configuration,
        EndpointsDelta endpoints,
        EndedDelta ended,
        PoisonTable poison,
        boolean draining)
        implements Message {}
