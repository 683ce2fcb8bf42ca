package org.cicadahead.service;

import java.util.Map;
import java.util.Objects;

/**
 * A call to a service. Immutable except for the array, which must not be changed.
 *
 * @param method the HTTP method
 * @param path the path, with its query
 * @param headers the headers of the caller; only a fixed list of them is forwarded
 * @param body the request body
 * @param timeoutMillis the timeout of the call, in milliseconds
 */
public record ServiceCall(String method, String path, Map<String, String> headers, byte[] body, long timeoutMillis) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if the method or the path is null
     */
    public ServiceCall {
        Objects.requireNonNull(method, "The method must not be null");
        Objects.requireNonNull(path, "The path must not be null");
        headers = Map.copyOf(headers);
        body = body == null ? new byte[0] : body;
    }
}
