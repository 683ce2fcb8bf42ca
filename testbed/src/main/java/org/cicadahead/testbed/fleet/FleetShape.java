package org.cicadahead.testbed.fleet;

/**
 * How many processes of each kind a fleet has. Immutable.
 *
 * @param controls control replicas
 * @param entries entry daemons
 * @param engines emulated engines, each with an endpoint daemon
 * @param services emulated services, each with an endpoint daemon
 * @param linked whether links that can be cut lead to control and to the endpoint daemons
 */
public record FleetShape(int controls, int entries, int engines, int services, boolean linked) {
    private static final int MAX_PROCESSES = 100;

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if there are no replicas or entries, or too many processes
     */
    public FleetShape {
        if (controls < 1 || entries < 1 || engines < 0 || services < 0) {
            throw new IllegalArgumentException("There must be at least one control replica and one entry");
        }
        if (controls + entries + 2 * (engines + services) > MAX_PROCESSES) {
            throw new IllegalArgumentException("There must be at most " + MAX_PROCESSES + " processes");
        }
    }
}
