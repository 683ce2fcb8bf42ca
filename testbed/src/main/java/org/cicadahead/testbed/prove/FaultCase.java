package org.cicadahead.testbed.prove;

import org.cicadahead.testbed.fleet.FleetException;

/**
 * A line of the fault table. Immutable.
 *
 * @param name the name for {@code --only}
 * @param promise what has to hold
 * @param slow whether it runs only with {@code --all}
 * @param linked whether its fleet needs links that can be cut
 * @param body breaks the fleet and checks the promise
 */
record FaultCase(String name, String promise, boolean slow, boolean linked, Body body) {

    /** What a case does. */
    @FunctionalInterface
    interface Body {

        /**
         * Runs the case on a fleet of its own.
         *
         * @param scene the fleet
         * @throws FleetException if the fleet cannot be controlled
         * @throws CaseFailure if the promise does not hold
         */
        void run(Scene scene) throws FleetException, CaseFailure;
    }

    static FaultCase quick(String name, String promise, Body body) {
        return new FaultCase(name, promise, false, false, body);
    }

    static FaultCase slow(String name, String promise, Body body) {
        return new FaultCase(name, promise, true, false, body);
    }

    static FaultCase linked(String name, String promise, Body body) {
        return new FaultCase(name, promise, false, true, body);
    }
}
