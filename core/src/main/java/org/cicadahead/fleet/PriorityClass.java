package org.cicadahead.fleet;

/**
 * How much is lost if a request of a program is refused. The order is that of service.
 *
 * <p>Answers a load beyond an organisation's rate: what is left goes first to programs that are under way, so that some
 * programs finish instead of all being broken off.
 */
public enum PriorityClass {
    /** A call whose refusal ends its program, or a request of no program. */
    CALL(0),
    /** A turn of a program that is under way. */
    RUNNING(0.08),
    /** The first turn of a program. */
    NEW(0.25),
    /** A turn of a program that sends far more requests than programs do. */
    EXCESSIVE(0.5);

    private final double reservedBurst;

    PriorityClass(double reservedBurst) {
        this.reservedBurst = reservedBurst;
    }

    /**
     * Returns the fraction of the burst that stays reserved for requests of more urgent classes.
     *
     * @return the fraction, from 0 to 1
     */
    public double reservedBurst() {
        return reservedBurst;
    }
}
