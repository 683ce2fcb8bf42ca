package org.cicadahead.fleet;

import java.util.Objects;

/**
 * What an endpoint last reported. Immutable.
 *
 * @param id the id of the incarnation
 * @param bornMillis when it started, in milliseconds since the epoch; 0 if it does not say
 * @param sequence increases with each heartbeat of an incarnation
 * @param service the service that it belongs to
 * @param address host and port; empty if a departure came without one
 * @param zone its availability zone
 * @param slots how many requests it runs at once
 * @param phase what it does
 * @param coldLeftMillis how much longer it is slow after its start, in milliseconds
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
        long coldLeftMillis) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a text or the phase is null
     */
    public EndpointRecord {
        Objects.requireNonNull(id, "The id must not be null");
        Objects.requireNonNull(service, "The service must not be null");
        Objects.requireNonNull(address, "The address must not be null");
        Objects.requireNonNull(zone, "The zone must not be null");
        Objects.requireNonNull(phase, "The phase must not be null");
    }

    /**
     * Returns a copy of this record with another phase.
     *
     * @param next the phase
     * @return the record
     */
    public EndpointRecord withPhase(EndpointPhase next) {
        return new EndpointRecord(id, bornMillis, sequence, service, address, zone, slots, next, coldLeftMillis);
    }
}
