package org.cicadahead.testbed.soak;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.cicadahead.platform.WireNames;

/** A caller that runs programs one after another: a chain of kept turns with a call that may run once in between. */
final class SoakCaller implements Runnable {
    private static final int TURNS = 4;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAUTHORIZED = 401;
    private static final int PAYMENT_REQUIRED = 402;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final long PAUSE_MILLIS = 20;
    private static final int STREAM_ATTEMPTS = 4;
    /** The time that an entry which was frozen or killed may still affect a request, in milliseconds. */
    private static final long ANSWER_MILLIS = 5_000;

    private final int number;
    private final SoakFleet fleet;
    private final SoakHttp http;
    private final SoakJudge judge;
    private final Random random;
    private final BooleanSupplier running;
    private final BiConsumer<SoakRequest, String> departures;
    private int programs;

    /**
     * Creates a caller.
     *
     * @param departures receives the name of an endpoint whose answer states that it is leaving
     */
    SoakCaller(
            int number,
            SoakFleet fleet,
            SoakHttp http,
            SoakJudge judge,
            Random random,
            BooleanSupplier running,
            BiConsumer<SoakRequest, String> departures) {
        this.departures = departures;
        this.number = number;
        this.fleet = fleet;
        this.http = http;
        this.judge = judge;
        this.random = random;
        this.running = running;
    }

    @Override
    public void run() {
        while (running.getAsBoolean()) {
            program("c" + number + "p" + programs++);
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void program(String program) {
        String history = "";
        String previous = "";
        for (int turn = 0; turn < TURNS && running.getAsBoolean(); turn++) {
            String attempt = program + "t" + turn;
            String input = "input-" + attempt + ";";
            SoakHttp.Answer answer = turn(program, attempt, previous, input);
            if (answer.status() != OK) {
                check(attempt, previous, answer);
                return;
            }
            judge.served();
            byte[] prompt = (history + input).getBytes(StandardCharsets.UTF_8);
            if (!answer.sealed()) {
                judge.violation("a success without a signature: " + attempt);
            }
            if (!answer.body().contains("data: " + SoakEndpoint.checksum(prompt) + "\n")
                    || !answer.body().endsWith("data: end-" + attempt + "\n\n")) {
                judge.violation("the endpoint got another chain, or the answer is not whole: " + attempt);
                return;
            }
            history += input + SoakEndpoint.events(prompt, attempt);
            previous = attempt;
            callOnce(program, attempt + "x");
            stream(program, attempt + "s");
        }
    }

    /** Sends a stream and resumes it up to a few times where it breaks off; its events must be those of one version. */
    private void stream(String program, String first) {
        SoakStream stream = new SoakStream();
        for (int attempt = 0; attempt < STREAM_ATTEMPTS; attempt++) {
            String id = first + attempt;
            Map<String, String> headers = headers(program, id);
            if (stream.hasBegun()) {
                headers.put("Last-Event-Id", Long.toString(stream.lastEvent()));
                headers.put(WireNames.RESUMES, stream.attempt());
            }
            SoakHttp.Answer answer = call(fleet.anyEntry(random), id, "/resume/x", headers, id);
            stream.add(id, answer.body(), answer.status() == OK || answer.status() == 0);
            String fault = stream.fault();
            if (!fault.isEmpty()) {
                judge.violation(fault + ": " + id);
                return;
            }
            if (answer.status() == OK) {
                judge.served();
                if (stream.lastEvent() != SoakEndpoint.STREAM_EVENTS) {
                    judge.violation("a stream without its last event looks complete: " + id);
                } else if (attempt > 0) {
                    judge.resumed();
                }
                return;
            }
            check(id, "", answer);
        }
    }

    private SoakHttp.Answer turn(String program, String attempt, String previous, String input) {
        Map<String, String> headers = headers(program, attempt);
        headers.put(WireNames.BUDGET, "100000");
        headers.put(WireNames.TOKENS, "10,100");
        if (!previous.isEmpty()) {
            headers.put(WireNames.PREVIOUS, previous);
        }
        return call(fleet.anyEntry(random), attempt, "/turns/x", headers, input);
    }

    private SoakHttp.Answer call(
            SoakFleet.Member entry, String attempt, String path, Map<String, String> headers, String body) {
        SoakRequest request = SoakRequest.of(attempt, entry, SoakJudge.now());
        judge.sent(request);
        SoakHttp.Answer answer = http.call("POST", fleet.callers(entry), path, headers, body);
        if (!answer.leaving().isEmpty() && request.isSameProcess()) {
            departures.accept(request, answer.leaving());
        }
        return answer;
    }

    private void callOnce(String program, String attempt) {
        judge.askedOnce(attempt);
        SoakFleet.Member entry = fleet.anyEntry(random);
        long sentMillis = SoakJudge.now();
        SoakHttp.Answer answer = call(entry, attempt, "/once/x", headers(program, attempt), "once");
        if (answer.status() == OK) {
            judge.served();
        } else if (answer.status() == 0 && entry.calmSince(sentMillis - ANSWER_MILLIS)) {
            judge.cut(attempt);
        } else {
            check(attempt, "", answer);
        }
    }

    private Map<String, String> headers(String program, String attempt) {
        judge.asked();
        Map<String, String> headers = new HashMap<>();
        headers.put(WireNames.ATTEMPT, attempt);
        headers.put(WireNames.KEY, "soak-key");
        headers.put(WireNames.TIME_LEFT, "3000");
        headers.put(WireNames.PROGRAM, program);
        headers.put(WireNames.SESSION, program);
        return headers;
    }

    private void check(String attempt, String previous, SoakHttp.Answer answer) {
        switch (answer.status()) {
            case TOO_MANY, UNAVAILABLE -> judge.notRun(attempt);
            case UNAUTHORIZED -> judge.violation("a key of the configuration was refused: " + attempt);
            case PAYMENT_REQUIRED -> judge.violation("a budget that is not spent was refused: " + attempt);
            case NOT_FOUND ->
                judge.violation("a turn that was answered whole is not found: " + previous + " by " + attempt + " "
                        + answer.body());
            default -> {
                // 502, 504 and a broken connection promise nothing.
            }
        }
    }
}
