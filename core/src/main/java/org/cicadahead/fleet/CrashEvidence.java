package org.cicadahead.fleet;

import java.util.Objects;
import org.cicadahead.model.RequestFingerprint;

/**
 * An observation that the connection to an endpoint was lost while the endpoint ran a request. Immutable.
 *
 * @param request the fingerprint of the request
 * @param incarnation the incarnation of the endpoint
 * @param refuted whether an endpoint has answered the same request since, so that the request did not cause the crash
 * @param ageMillis the time since the connection was lost, in milliseconds
 */
public record CrashEvidence(RequestFingerprint request, String incarnation, boolean refuted, long ageMillis) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if the request or the incarnation is null
     * @throws IllegalArgumentException if the age is negative
     */
    public CrashEvidence {
        Objects.requireNonNull(request, "The request must not be null");
        Objects.requireNonNull(incarnation, "The incarnation must not be null");
        if (ageMillis < 0) {
            throw new IllegalArgumentException("The age must not be negative: " + ageMillis);
        }
    }

    /**
     * Returns this observation after some time has passed.
     *
     * @param millis the time that has passed, in milliseconds
     * @return the observation with a greater age
     * @throws IllegalArgumentException if the age becomes negative
     */
    public CrashEvidence olderBy(long millis) {
        return new CrashEvidence(request, incarnation, refuted, ageMillis + millis);
    }
}
