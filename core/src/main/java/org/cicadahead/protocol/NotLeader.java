package org.cicadahead.protocol;

/**
 * Redirects a request that only the leader can serve.
 *
 * @param leader host and port of the leader, or empty if it is unknown
 */
public record NotLeader(String leader) implements Message {}
