package org.cicadahead.testbed.soak;

/**
 * A request that has reached an endpoint. Immutable.
 *
 * @param attempt the id of the attempt
 * @param endpoint the endpoint
 * @param atMillis the monotonic time, in milliseconds
 * @param timeLeftMillis the time limit that the endpoint received, in milliseconds; the maximum if it received none
 */
record SoakArrival(String attempt, SoakEndpoint endpoint, long atMillis, long timeLeftMillis) {

    /** Returns the time at which the endpoint ends its work. */
    long endMillis() {
        return atMillis + timeLeftMillis;
    }

    @Override
    public String toString() {
        return endpoint.name() + " at " + atMillis + " for " + timeLeftMillis;
    }
}
