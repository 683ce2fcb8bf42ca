package org.cicadahead.protocol;

import org.cicadahead.model.EndpointState;

/**
 * Answers {@link Ping}.
 *
 * @param state whether the endpoint accepts new requests
 * @param load its load
 */
public record Pong(EndpointState state, EndpointLoad load) implements Message {}
