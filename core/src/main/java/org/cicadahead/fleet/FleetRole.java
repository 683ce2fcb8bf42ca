package org.cicadahead.fleet;

/** The roles of the daemons of a deployment. */
public enum FleetRole {
    /** Serves callers. */
    ENTRY,
    /** Holds the configuration and hears the endpoints. */
    HUB,
    /** Holds turns and budgets. */
    STORE
}
