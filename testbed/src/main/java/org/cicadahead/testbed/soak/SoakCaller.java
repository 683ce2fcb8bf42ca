package org.cicadahead.testbed.soak;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cicadahead.platform.WireNames;

/**
 * A caller that runs programs one after another: streams, and a chain of kept turns with a call that may run
 * once and a stream in between.
 */
final class SoakCaller implements Runnable {
    private static final int TURNS = 4;
    /** The number of streams before the first turn. */
    private static final int FIRST_STREAMS = 2;

    private static final long PAUSE_MILLIS = 20;
    private static final int STREAM_ATTEMPTS = 4;

    private final int number;
    private final SoakClient client;
    private final SoakJudge judge;
    private final Random random;
    private final BooleanSupplier running;
    private int programs;

    SoakCaller(int number, SoakClient client, Random random, BooleanSupplier running) {
        this.number = number;
        this.client = client;
        this.judge = client.judge();
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
        for (int i = 0; i < FIRST_STREAMS; i++) {
            stream(program, program + "f" + i + "s");
        }
        String history = "";
        String previous = "";
        for (int turn = 0; turn < TURNS && running.getAsBoolean(); turn++) {
            String attempt = program + "t" + turn;
            String input = "input-" + attempt + ";";
            SoakHttp.Answer answer = turn(program, attempt, previous, input);
            if (answer.status() != SoakClient.OK) {
                client.check(attempt, previous, answer);
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

    /** Sends a stream and resumes it up to a few times where it breaks off; each event must arrive once, in order. */
    private void stream(String program, String first) {
        SoakStream stream = new SoakStream();
        int events = SoakStreams.events(first);
        for (int attempt = 0; attempt < STREAM_ATTEMPTS; attempt++) {
            String id = first + attempt;
            Map<String, String> headers = SoakClient.headers(program, id);
            if (stream.hasBegun()) {
                headers.put("Last-Event-Id", Long.toString(stream.lastEvent()));
                headers.put(WireNames.RESUMES, stream.attempt());
            }
            SoakFleet.Member entry = client.fleet().anyEntry(random);
            SoakHttp.Answer answer = client.call(entry, "/resume/x", headers, first);
            if (answer.begun() == SoakClient.OK) {
                stream.add(id, answer.body(), answer.status() == SoakClient.OK);
            }
            String fault = stream.fault();
            if (!fault.isEmpty()) {
                violation(fault, id, events);
                return;
            }
            if (answer.status() == SoakClient.OK) {
                judge.served();
                if (stream.lastEvent() != events) {
                    violation("a stream ends as complete after event " + stream.lastEvent(), id, events);
                } else if (attempt > 0) {
                    judge.resumed();
                }
                return;
            }
            client.check(id, "", answer);
        }
    }

    private void violation(String fault, String attempt, int events) {
        judge.violation(fault + " of " + events + ": "
                + judge.request(attempt).map(SoakRequest::toString).orElse(attempt) + ", " + judge.history(attempt));
    }

    private SoakHttp.Answer turn(String program, String attempt, String previous, String input) {
        judge.askedOnce(attempt);
        Map<String, String> headers = SoakClient.headers(program, attempt);
        headers.put(WireNames.BUDGET, "100000");
        headers.put(WireNames.TOKENS, "10,100");
        if (!previous.isEmpty()) {
            headers.put(WireNames.PREVIOUS, previous);
        }
        return client.call(client.fleet().anyEntry(random), "/turns/x", headers, input);
    }

    private void callOnce(String program, String attempt) {
        judge.askedOnce(attempt);
        SoakHttp.Answer answer =
                client.call(client.fleet().anyEntry(random), "/once/x", SoakClient.headers(program, attempt), "once");
        if (answer.status() == SoakClient.OK) {
            judge.served();
        } else {
            client.check(attempt, "", answer);
        }
    }
}
