package org.cicadahead.protocol;

/**
 * Answers a request that only the leader takes.
 *
 * @param leader host and port of the leader, or empty if it is not known
 */
public record NotLeader(String leader) implements Message {}
