package org.cicadahead.protocol;

import org.cicadahead.model.EndpointId;

/**
 * The recorded outcome of a claimed request. Immutable.
 *
 * @param status the HTTP status
 * @param contentType the content type of the body
 * @param body the body
 * @param endpoint the endpoint that ran it
 */
public record Outcome(int status, String contentType, byte[] body, EndpointId endpoint) {}
