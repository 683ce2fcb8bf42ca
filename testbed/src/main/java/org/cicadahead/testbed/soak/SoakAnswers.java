package org.cicadahead.testbed.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import org.cicadahead.platform.WireNames;
import org.cicadahead.testbed.soak.SoakResponse.Break;
import org.cicadahead.testbed.soak.SoakResponse.Framing;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** The requests that an endpoint gets, and its responses. Thread-safe. */
final class SoakAnswers extends Handler.Abstract {
    /** The part of a path that marks a request as one that crashes the endpoints that run it. */
    static final String CRASH = "/crash-";

    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final int MISDIRECTED = 421;
    /** One of this number of turns breaks off after its first event. */
    private static final int BREAK_OFF_CHANCE = 8;
    /** One of this number of responses has a head that is cut off, or a head or body without end. */
    private static final int MALFORMED_CHANCE = 45;
    /** One of this number of requests that may run once is slow. */
    private static final int SLOW_CHANCE = 4;

    private static final int SLOW_MILLIS = 1_200;
    /** The maximum time that a request runs before it crashes its endpoint, in milliseconds. */
    private static final int CRASH_DELAY_MILLIS = 400;

    private final SoakEndpoint endpoint;
    private final SoakStreams streams;
    private final SoakJudge judge;

    SoakAnswers(SoakEndpoint endpoint, String version, SoakJudge judge) {
        this.endpoint = endpoint;
        this.streams = new SoakStreams(version, endpoint::crash, judge);
        this.judge = judge;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        SoakResponse answer = new SoakResponse(request, response, callback);
        String attempt = request.getHeaders().get(WireNames.ATTEMPT);
        response.getHeaders().put(WireNames.ATTEMPT, attempt);
        endpoint.describe(response.getHeaders());
        if (!endpoint.id().equals(request.getHeaders().get(WireNames.INSTANCE))) {
            answer.notRun(MISDIRECTED);
            return true;
        }
        String body = body(request);
        boolean resumed = judge.hasRun(attempt);
        SoakArrival arrival = endpoint.received(attempt, request.getHeaders().get(WireNames.TIME_LEFT));
        if (request.getHeaders().get(WireNames.KEY) != null) {
            judge.violation("an endpoint saw a key: " + attempt);
        }
        String path = request.getHttpURI().getPath();
        if (path.contains(CRASH)) {
            crash(path, arrival, answer);
        } else if (path.startsWith("/resume/")) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
            String last = request.getHeaders().get("Last-Event-Id");
            streams.answer(arrival, body, last == null ? 0 : Integer.parseInt(last), resumed, answer);
        } else {
            judge.ran(arrival);
            answer(path, attempt, body, answer);
        }
        return true;
    }

    private static String body(Request request) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Content.Source.asInputStream(request).transferTo(body);
        return body.toString(StandardCharsets.UTF_8);
    }

    private void answer(String path, String attempt, String body, SoakResponse answer) throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        if (random.nextInt(MALFORMED_CHANCE) == 0) {
            malformed(attempt, answer);
            return;
        }
        if (path.startsWith("/once/") && random.nextInt(SLOW_CHANCE) == 0) {
            pause(random.nextInt(SLOW_MILLIS));
        }
        String[] data = SoakEndpoint.events(body.getBytes(StandardCharsets.UTF_8), attempt)
                .split("\n");
        String first = "id: 1\ndata: " + data[0] + "\n\n";
        String whole = first + "id: 2\ndata: " + data[1] + "\n\n";
        answer.signed(OK, attempt);
        if (path.startsWith("/turns/") && random.nextInt(BREAK_OFF_CHANCE) == 0) {
            judge.brokenOff(attempt);
            judge.sentResponse(attempt, "turn broken off");
            answer.begin(Framing.CHUNKED, first, whole);
            answer.breakOff(Break.values()[random.nextInt(Break.values().length)]);
        } else {
            answer.complete(Framing.values()[random.nextInt(Framing.values().length)], whole);
        }
    }

    private void malformed(String attempt, SoakResponse answer) throws IOException {
        judge.brokenOff(attempt);
        switch (ThreadLocalRandom.current().nextInt(4)) {
            case 3 -> {
                Break how = Break.values()[ThreadLocalRandom.current().nextInt(Break.values().length)];
                judge.sentResponse(attempt, "head cut, " + how);
                answer.cutHead(OK, attempt, how);
            }
            case 0 -> {
                judge.sentResponse(attempt, "head without end");
                answer.endlessHead(attempt);
            }
            case 1 -> {
                judge.sentResponse(attempt, "body without end");
                answer.signed(OK, attempt).endlessBody("id: 1\ndata: ");
            }
            default -> {
                judge.sentResponse(attempt, "failure without end");
                answer.signed(SERVER_ERROR, attempt).endlessBody("");
            }
        }
    }

    /** Runs a request for a moment and ends the process of the endpoint before or after the head, in varied ways. */
    private void crash(String path, SoakArrival arrival, SoakResponse answer) throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        judge.crashingRequestArrived(path, arrival);
        judge.ran(arrival);
        judge.brokenOff(arrival.attempt());
        pause(random.nextInt(CRASH_DELAY_MILLIS));
        if (random.nextBoolean()) {
            // Without a frame, only a partial event distinguishes an orderly close from the end of the response.
            int framings = path.startsWith("/resume/") ? Framing.values().length : Framing.UNFRAMED.ordinal();
            Framing framing = Framing.values()[random.nextInt(framings)];
            judge.sentResponse(arrival.attempt(), "crash after the head, " + framing);
            answer.signed(OK, arrival.attempt()).begin(framing, "id: 1\nda", "id: 1\ndata: crash\n\n");
        } else {
            judge.sentResponse(arrival.attempt(), "crash before the head");
        }
        endpoint.crash();
        judge.crashed(path, SoakJudge.now());
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
