package org.cicadahead.site;

/**
 * Bounds on what callers send. Immutable.
 *
 * @param maxHeaderBytes the largest header block, in bytes
 * @param maxBodyBytes the largest body, in bytes
 * @param headerTimeoutMillis how long a caller may take to send the headers, in milliseconds
 * @param idleTimeoutMillis how long a connection may stay idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The bounds before a configuration is known: 16 KiB, 4 MiB, 10 s and 60 s. */
    public static final CallerLimits STANDARD = new CallerLimits(16 * 1024, 4L * 1024 * 1024, 10_000, 60_000);
}
