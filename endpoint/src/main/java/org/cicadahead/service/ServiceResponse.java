package org.cicadahead.service;

/**
 * The complete response of a service. Immutable except for the array, which must not be changed.
 *
 * @param status the HTTP status
 * @param contentType the content type, or empty
 * @param body the response body
 */
public record ServiceResponse(int status, String contentType, byte[] body) {}
