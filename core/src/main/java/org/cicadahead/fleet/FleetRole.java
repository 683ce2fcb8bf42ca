package org.cicadahead.fleet;

/** The roles of the daemons of a deployment. */
public enum FleetRole {
    /** Accepts the requests of callers. */
    ENTRY,
    /** Holds the configuration and receives the heartbeats of endpoints. */
    HUB,
    /** Stores turns and budgets. */
    STORE
}
