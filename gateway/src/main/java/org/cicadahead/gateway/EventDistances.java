package org.cicadahead.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The distance between the ids of consecutive events, by service, as seen in streams that one endpoint has completed.
 * Thread-safe.
 *
 * <p>It shows whether events are missing at the beginning of a resumed stream, of which too little has been seen here.
 * A service whose streams differ in their distance shows nothing.
 */
final class EventDistances {
    private final Map<String, Long> byService = new ConcurrentHashMap<>();

    /** Returns the sequence of the stream that a request begins or resumes. */
    EventSequence newSequence(AdmittedRequest request) {
        long distance = byService.getOrDefault(request.service().name(), EventSequence.UNKNOWN);
        return EventSequence.after(request.lastEventId(), distance);
    }

    /** Learns from a stream that is complete. */
    void streamCompleted(String service, EventSequence sequence) {
        long distance = sequence.distance();
        if (distance != EventSequence.UNKNOWN) {
            byService.merge(service, distance, (known, seen) -> known.equals(seen) ? known : EventSequence.UNEVEN);
        }
    }
}
