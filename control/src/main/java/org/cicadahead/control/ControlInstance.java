package org.cicadahead.control;

import org.cicadahead.replication.ReplicatedNode;

/**
 * One start of the control replica with the components that serve from its state. Immutable. A request uses one
 * instance throughout, so that it never combines the lease of one start with the tables of another.
 *
 * @param log the replica
 * @param histories the histories of programs
 * @param service serves daemons
 * @param admin serves operators
 * @param housekeeping the periodic maintenance
 */
record ControlInstance(
        ReplicatedNode log,
        HistoryStore histories,
        ControlService service,
        ControlAdmin admin,
        Housekeeping housekeeping) {}
