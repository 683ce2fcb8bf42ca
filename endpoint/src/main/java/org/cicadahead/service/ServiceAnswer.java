package org.cicadahead.service;

/**
 * The complete answer of a service. Immutable but for the array, which must not be changed.
 *
 * @param status the HTTP status
 * @param contentType the content type, or empty
 * @param body the body
 */
public record ServiceAnswer(int status, String contentType, byte[] body) {}
