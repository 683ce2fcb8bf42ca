package org.cicadahead.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import org.cicadahead.protocol.DaemonInfo;

/**
 * The configuration of an entry node. Immutable.
 *
 * @param daemon the identity of the daemon
 * @param control the addresses of the control replicas
 * @param httpListen the address on which to serve callers
 * @param workers the number of worker threads
 * @param maxBodyBytes the maximum size of a request body in bytes
 */
public record EntryConfig(
        DaemonInfo daemon,
        List<InetSocketAddress> control,
        InetSocketAddress httpListen,
        int workers,
        long maxBodyBytes) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a value is null
     * @throws IllegalArgumentException if a number is not positive
     */
    public EntryConfig {
        Objects.requireNonNull(daemon, "The daemon must not be null");
        Objects.requireNonNull(httpListen, "The HTTP listen address must not be null");
        control = List.copyOf(control);
        if (workers < 1 || maxBodyBytes < 1) {
            throw new IllegalArgumentException("The number of workers and the maximum body size must be at least 1");
        }
    }
}
