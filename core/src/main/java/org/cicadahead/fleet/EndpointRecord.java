package org.cicadahead.fleet;

import java.util.Objects;

/**
 * The last reported state of an endpoint. Immutable.
 *
 * @param id the id of the incarnation, that is, of one start of the endpoint
 * @param bornMillis the start time in milliseconds since the epoch; 0 if the endpoint does not report it
 * @param sequence increases with each heartbeat of an incarnation
 * @param service the service that it belongs to
 * @param address host and port; empty if the report of a departure carried none
 * @param zone its availability zone
 * @param slots the number of requests that it runs at once
 * @param phase the phase
 * @param coldLeftMillis the remaining warm-up time after the start, in milliseconds
 * @param softwareVersion the version of its software; empty if it reports none
 */
public record EndpointRecord(
        String id,
        long bornMillis,
        long sequence,
        String service,
        String address,
        String zone,
        int slots,
        EndpointPhase phase,
        long coldLeftMillis,
        String softwareVersion) {

    /**
     * Validates the values. A missing software version becomes an empty one, because hubs of earlier releases send
     * none.
     *
     * @throws NullPointerException if another text or the phase is null
     */
    public EndpointRecord {
        Objects.requireNonNull(id, "The id must not be null");
        Objects.requireNonNull(service, "The service must not be null");
        Objects.requireNonNull(address, "The address must not be null");
        Objects.requireNonNull(zone, "The zone must not be null");
        Objects.requireNonNull(phase, "The phase must not be null");
        softwareVersion = softwareVersion == null ? "" : softwareVersion;
    }

    /**
     * Returns a copy of this record with another phase.
     *
     * @param next the phase
     * @return the copy
     */
    public EndpointRecord withPhase(EndpointPhase next) {
        return new EndpointRecord(
                id, bornMillis, sequence, service, address, zone, slots, next, coldLeftMillis, softwareVersion);
    }
}
