package org.cicadahead.gateway;

/**
 * Checks that the events of one stream, received in one or more attempts, follow each other without gap or repetition.
 * Guarded by the lock of the request scope.
 *
 * <p>Ids increase, and nothing else is agreed on. Within one response, the order of events and the distance of their
 * ids are the endpoint's own. Where two responses are joined, the second one must go on at the successor of the last
 * event that the caller has. The successor is known if all ids so far have the same distance, in this stream or in
 * those that its service has completed; while they show none, only the next integer is certain to be it. A response
 * that begins earlier is a run of its own, which may differ from the first one. Events without data, such as comments,
 * have no place in the sequence.
 */
final class EventSequence {
    /** The distance of ids that is not known yet. */
    static final long UNKNOWN = -1;
    /** The distance of ids that differs between events. */
    static final long UNEVEN = 0;

    private static final long NONE = -1;

    /** How an event fits into the sequence. */
    enum Fit {
        /** It follows the last event passed on, as far as can be known. */
        NEXT,
        /** It does not continue what the caller has, or its place is unknown. */
        GAP,
        /** Its id is not above that of the event before it in the same response. */
        OUT_OF_ORDER;

        /** Returns whether the response cannot be a part of the stream. */
        boolean isFault() {
            return this == GAP || this == OUT_OF_ORDER;
        }
    }

    private final long serviceDistance;
    private long last;
    private long received = NONE;
    private long passedOn = NONE;
    private boolean joins;
    private boolean hasUnnumbered;
    private long distance = UNKNOWN;

    private EventSequence(long last, long serviceDistance) {
        this.last = last;
        this.serviceDistance = serviceDistance;
    }

    /**
     * Returns the sequence of a stream.
     *
     * @param lastEventId the id of the last event that the caller has received; -1 if it has received none
     * @param distance the distance of ids in other streams of the service, {@link #UNKNOWN} or {@link #UNEVEN}
     */
    static EventSequence after(long lastEventId, long distance) {
        return new EventSequence(lastEventId, distance);
    }

    /** Begins a further response of the stream. */
    void beginResponse() {
        joins = last != NONE;
        received = NONE;
    }

    /** Returns the id of the last event that the caller has received; -1 if there is none. */
    long last() {
        return last;
    }

    /**
     * Returns whether another response can continue the stream. After an event without an id, its place in the sequence
     * cannot be named.
     */
    boolean isResumable() {
        return !hasUnnumbered;
    }

    /** Adds the next event of the current response, and returns how it fits. */
    Fit add(StreamEvent event) {
        if (event.id() < 0) {
            return event.data() == null ? Fit.NEXT : addUnnumbered();
        }
        if (received != NONE && event.id() <= received) {
            return Fit.OUT_OF_ORDER;
        }
        if (event.id() <= last || received != last && !isSuccessor(event.id())) {
            return Fit.GAP;
        }
        pass(event.id());
        return Fit.NEXT;
    }

    /** Returns whether the end of the current response is the end of the stream, as far as can be known. */
    boolean isComplete() {
        return received != NONE || !joins;
    }

    /** Returns the distance of the ids of a complete stream; {@link #UNKNOWN} if one response does not show it. */
    long distance() {
        return joins ? UNKNOWN : distance;
    }

    private Fit addUnnumbered() {
        if (received == NONE && joins) {
            return Fit.GAP;
        }
        hasUnnumbered = true;
        return Fit.NEXT;
    }

    /** Returns whether an id can follow the last one at the beginning of a response. */
    private boolean isSuccessor(long id) {
        if (received != NONE) {
            return false;
        }
        if (joins && distance == UNKNOWN && serviceDistance <= UNEVEN) {
            // No other id lies between these two.
            return id == last + 1;
        }
        long expected = distance == UNKNOWN ? serviceDistance : distance;
        return expected <= UNEVEN || id == last + expected;
    }

    private void pass(long id) {
        if (passedOn != NONE) {
            distance = distance == UNKNOWN || distance == id - last ? id - last : UNEVEN;
        }
        last = id;
        received = id;
        passedOn = id;
        hasUnnumbered = false;
    }
}
