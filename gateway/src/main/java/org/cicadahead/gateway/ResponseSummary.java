package org.cicadahead.gateway;

import java.util.OptionalDouble;

/**
 * What an endpoint responded to one attempt, for the decision log. Immutable.
 *
 * @param status the status, or 0 if no head was received
 * @param requestLimit the request limit that the head states, in requests per second; empty if it states none
 * @param part the events of the response; null if it is not a stream
 */
record ResponseSummary(int status, OptionalDouble requestLimit, StreamPart part) {
    /** The summary of an attempt without a response. */
    static final ResponseSummary NONE = new ResponseSummary(0, OptionalDouble.empty(), null);

    /**
     * The part of a stream that one response contains. Ids are -1 where there is no event with an id.
     *
     * @param after the id of the last event that the caller had received before
     * @param first the id of the first event of the response that was passed on
     * @param last the id of the last event of the response that was passed on
     * @param events the number of events of the response that were passed on
     */
    record StreamPart(long after, long first, long last, int events) {}
}
