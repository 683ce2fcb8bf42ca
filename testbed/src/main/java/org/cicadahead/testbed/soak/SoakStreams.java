package org.cicadahead.testbed.soak;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import org.cicadahead.testbed.soak.SoakResponse.Break;
import org.cicadahead.testbed.soak.SoakResponse.Framing;

/** The streams of an endpoint and how they break off. Thread-safe. */
final class SoakStreams {
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int EVENTS_MIN = 2;
    private static final int EVENTS_MAX = 9;
    /** One of this number of streams breaks off, and of resumed streams gets another answer than its rest. */
    private static final int FAULT_CHANCE = 3;
    /** One of this number of crashes takes place; the others would leave too few endpoints. */
    private static final int CRASH_CHANCE = 4;

    private final String version;
    private final Runnable crash;
    private final SoakJudge judge;

    /** A request for the events of a stream after the last one that the caller has, or from the beginning. */
    private record Rest(SoakArrival arrival, String run, int last, int total) {
        String attempt() {
            return arrival.attempt();
        }

        String events(int first, int end) {
            StringBuilder events = new StringBuilder();
            for (int event = first; event <= end; event++) {
                events.append("id: ").append(event).append("\ndata: ");
                events.append(run).append("\n\n");
            }
            return events.toString();
        }
    }

    /** How a response to a stream is not whole. */
    private enum Interruption {
        IN_HEAD_CLOSED,
        IN_HEAD_RESET,
        IN_EVENT_CLOSED,
        IN_EVENT_RESET,
        BETWEEN_EVENTS_CLOSED,
        BETWEEN_EVENTS_RESET,
        AFTER_LAST_EVENT_RESET,
        CRASH,
        ENDLESS_EVENT;

        /** Returns a framing in which the interruption can be distinguished from the end of the stream. */
        Framing framing(Framing drawn) {
            return this == BETWEEN_EVENTS_CLOSED && drawn == Framing.UNFRAMED ? Framing.CHUNKED : drawn;
        }
    }

    /** What an endpoint sends to an entry that resumes a stream there, other than the rest of the stream. */
    private enum Resumption {
        NO_EVENTS,
        ID_SKIPPED,
        FAILURE,
        REJECTION,
        FROM_BEGINNING
    }

    /**
     * Creates the streams of an endpoint.
     *
     * @param crash ends the process of the endpoint
     */
    SoakStreams(String version, Runnable crash, SoakJudge judge) {
        this.version = version;
        this.crash = crash;
        this.judge = judge;
    }

    /** Returns the number of events of a stream, which its name determines. */
    static int events(String stream) {
        return new Random(stream.hashCode()).nextInt(EVENTS_MIN, EVENTS_MAX);
    }

    /** Answers a request for a stream; {@code resumed} tells that the same attempt has run at another endpoint. */
    void answer(SoakArrival arrival, String stream, int last, boolean resumed, SoakResponse response)
            throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String run = version + " run-" + Long.toHexString(random.nextLong()) + " " + last;
        Rest rest = new Rest(arrival, run, last, events(stream));
        boolean faulty = random.nextInt(FAULT_CHANCE) == 0;
        if (faulty && resumed && last > 0) {
            resumeWrongly(pick(Resumption.values()), rest, response);
            return;
        }
        judge.ran(arrival);
        if (faulty && last < rest.total) {
            Interruption kind = pick(Interruption.values());
            if (kind == Interruption.CRASH && random.nextInt(CRASH_CHANCE) > 0) {
                kind = Interruption.IN_EVENT_RESET;
            }
            interrupt(kind, kind.framing(pick(Framing.values())), rest, response);
        } else {
            Framing framing = pick(Framing.values());
            judge.sentResponse(rest.attempt(), "whole " + framing);
            response.signed(OK, rest.attempt()).complete(framing, rest.events(last + 1, rest.total));
        }
    }

    private void interrupt(Interruption kind, Framing framing, Rest rest, SoakResponse response) throws IOException {
        judge.sentResponse(rest.attempt(), kind + " " + framing);
        judge.brokenOff(rest.attempt());
        String whole = rest.events(rest.last + 1, rest.total);
        int events = ThreadLocalRandom.current().nextInt(rest.last, rest.total);
        String part = rest.events(rest.last + 1, events);
        String next = rest.events(events + 1, events + 1);
        String inEvent = part + next.substring(0, ThreadLocalRandom.current().nextInt(1, next.length() - 1));
        response.signed(OK, rest.attempt());
        switch (kind) {
            case IN_HEAD_CLOSED -> response.cutHead(OK, rest.attempt(), Break.CLOSE);
            case IN_HEAD_RESET -> response.cutHead(OK, rest.attempt(), Break.RESET);
            case IN_EVENT_CLOSED -> breakOff(framing, inEvent, whole, Break.CLOSE, response);
            case IN_EVENT_RESET -> breakOff(framing, inEvent, whole, Break.RESET, response);
            case BETWEEN_EVENTS_CLOSED -> breakOff(framing, part, whole, Break.CLOSE, response);
            case BETWEEN_EVENTS_RESET -> breakOff(framing, part, whole, Break.RESET, response);
            case AFTER_LAST_EVENT_RESET -> breakOff(framing, whole, whole + ":\n", Break.RESET, response);
            case CRASH -> {
                response.begin(framing, inEvent, whole);
                crash.run();
            }
            default -> response.endlessBody(part + "id: " + (events + 1) + "\ndata: ");
        }
    }

    private static void breakOff(Framing framing, String part, String whole, Break how, SoakResponse response)
            throws IOException {
        response.begin(framing, part, whole);
        response.breakOff(how);
    }

    private void resumeWrongly(Resumption kind, Rest rest, SoakResponse response) throws IOException {
        Framing framing = pick(Framing.values());
        judge.sentResponse(rest.attempt(), "resumed " + kind + " " + framing);
        if (kind == Resumption.REJECTION) {
            response.notRun(UNAVAILABLE);
            return;
        }
        judge.ran(rest.arrival);
        judge.brokenOff(rest.attempt());
        switch (kind) {
            case NO_EVENTS -> response.signed(OK, rest.attempt()).complete(framing, "");
            case ID_SKIPPED ->
                response.signed(OK, rest.attempt()).complete(framing, rest.events(rest.last + 2, rest.total));
            case FROM_BEGINNING -> {
                Rest whole = new Rest(rest.arrival, rest.run.replaceAll("\\d+$", "0"), 0, rest.total);
                response.signed(OK, rest.attempt()).complete(framing, whole.events(1, rest.total));
            }
            default -> response.signed(SERVER_ERROR, rest.attempt()).complete(framing, "a failure of the endpoint\n");
        }
    }

    private static <T> T pick(T[] values) {
        return values[ThreadLocalRandom.current().nextInt(values.length)];
    }
}
