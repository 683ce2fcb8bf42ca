package org.cicadahead.watch;

import org.cicadahead.fleet.FleetUpdate;

/** Is told what hubs say. Called by the reader threads of connections; must not block. */
public interface FleetListener {

    /**
     * Takes an update.
     *
     * @param hub the address of the hub
     * @param update what has changed; the first one after a connection is complete
     */
    void updated(String hub, FleetUpdate update);

    /**
     * Takes note that a hub does not answer any more.
     *
     * @param hub the address of the hub
     */
    void lost(String hub);
}
