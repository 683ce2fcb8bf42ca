package org.cicadahead.fleet;

/**
 * Classes of requests by the cost of refusing them. Classes are served in the order of declaration.
 *
 * <p>They apply when the load of an organisation exceeds its rate: the remaining capacity goes first to programs that
 * have started, so that some programs finish instead of all of them failing midway.
 */
public enum PriorityClass {
    /** A call whose refusal would end its program, or a request that belongs to no program. */
    CALL(0, 1),
    /** A turn of a program that has started. */
    RUNNING(0.08, 0.8),
    /** The first turn of a program on a route of the highest priority. */
    URGENT_NEW(0.1, 0.3),
    /** The first turn of a program. */
    NEW(0.25, 0),
    /** A turn of a program that sends far more requests than programs usually do. */
    EXCESSIVE(0.5, 0);

    private final double reservedBurst;
    private final double overdraft;

    PriorityClass(double reservedBurst, double overdraft) {
        this.reservedBurst = reservedBurst;
        this.overdraft = overdraft;
    }

    /**
     * Returns the fraction of the burst that stays reserved for requests of more urgent classes.
     *
     * @return the fraction, from 0 to 1
     */
    public double reservedBurst() {
        return reservedBurst;
    }

    /**
     * Returns the fraction of an organisation's overdraft that requests of the class may use. Programs that have
     * started may use most of it, as a program that loses one request has run in vain.
     *
     * @return the fraction, from 0 to 1
     */
    public double overdraft() {
        return overdraft;
    }
}
