package org.cicadahead.fleet;

import org.cicadahead.protocol.Message;

/**
 * How far the decommissioning of a store is.
 *
 * @param phase the phase
 */
public record DecommissionState(Phase phase) implements Message {

    /** The phases of a decommissioning. */
    public enum Phase {
        /** The store is not known. */
        UNKNOWN,
        /** Too few stores would be left. */
        TOO_FEW,
        /** It is under way. */
        RUNNING,
        /** The store holds nothing that is needed. */
        COMPLETED,
        /** The group of stores does not answer, so the phase is not known. */
        UNCERTAIN
    }
}
