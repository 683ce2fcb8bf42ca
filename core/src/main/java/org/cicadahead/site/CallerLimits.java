package org.cicadahead.site;

/**
 * Limits on the size and timing of requests from callers. Immutable.
 *
 * @param maxHeaderBytes the largest header block, in bytes
 * @param maxBodyBytes the largest body, in bytes
 * @param headerTimeoutMillis the time that a caller may take to send the headers, in milliseconds
 * @param idleTimeoutMillis the time that a connection may be idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits that apply until a configuration is known: 16 KiB, 4 MiB, 10 s and 60 s. */
    public static final CallerLimits STANDARD = new CallerLimits(16 * 1024, 4L * 1024 * 1024, 10_000, 60_000);
}
