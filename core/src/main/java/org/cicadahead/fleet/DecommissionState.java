package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * The progress of the decommissioning of a store.
 *
 * @param phase the phase
 */
public record DecommissionState(Phase phase) implements Message {

    /** The phases of a decommissioning. */
    public enum Phase {
        /** The store is unknown. */
        UNKNOWN,
        /** Refused, because too few stores would remain. */
        TOO_FEW,
        /** The store is handing over its data. */
        RUNNING,
        /** The store no longer holds data that is needed and can be removed. */
        COMPLETED,
        /** The group of stores does not respond, so the phase could not be determined. */
        UNCERTAIN
    }
}
