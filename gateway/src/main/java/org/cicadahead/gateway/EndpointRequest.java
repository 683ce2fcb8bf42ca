package org.cicadahead.gateway;

import java.util.Objects;

/**
 * A request to an endpoint. Immutable.
 *
 * @param caller the caller's request; its method, target and headers are forwarded
 * @param body the body to send
 * @param address host and port of the endpoint
 * @param instance the id of the endpoint incarnation that must run it
 * @param organisation the organisation that the request belongs to; empty on open routes
 * @param timeLeftMillis the time limit for the endpoint, in milliseconds
 * @param lastEventId the id of the last event that the caller has received, if a stream is resumed; -1 otherwise
 */
public record EndpointRequest(
        CallerRequest caller,
        byte[] body,
        String address,
        String instance,
        String organisation,
        long timeLeftMillis,
        long lastEventId) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a value is null
     */
    public EndpointRequest {
        Objects.requireNonNull(caller, "The request must not be null");
        Objects.requireNonNull(body, "The body must not be null");
        Objects.requireNonNull(address, "The address must not be null");
        Objects.requireNonNull(instance, "The instance must not be null");
        Objects.requireNonNull(organisation, "The organisation must not be null");
    }
}
