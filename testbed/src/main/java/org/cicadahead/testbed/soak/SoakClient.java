package org.cicadahead.testbed.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.cicadahead.platform.WireNames;

/** Sends requests to entries and checks what holds for every response. Thread-safe. */
final class SoakClient {
    static final int OK = 200;
    static final int UNAUTHORIZED = 401;
    static final int PAYMENT_REQUIRED = 402;
    static final int NOT_FOUND = 404;
    static final int TOO_MANY = 429;
    static final int UNAVAILABLE = 503;
    static final long LIMIT_MILLIS = 3_000;
    /** The time that an entry which was frozen or killed may still affect a request, in milliseconds. */
    private static final long ANSWER_MILLIS = 5_000;

    private final SoakFleet fleet;
    private final SoakHttp http;
    private final SoakJudge judge;
    private final BiConsumer<SoakRequest, String> departures;

    /**
     * Creates a client.
     *
     * @param departures receives the name of an endpoint whose answer states that it is leaving
     */
    SoakClient(SoakFleet fleet, SoakHttp http, SoakJudge judge, BiConsumer<SoakRequest, String> departures) {
        this.fleet = fleet;
        this.http = http;
        this.judge = judge;
        this.departures = departures;
    }

    SoakFleet fleet() {
        return fleet;
    }

    SoakJudge judge() {
        return judge;
    }

    /** Returns the header fields of a request of a program. */
    static Map<String, String> headers(String program, String attempt) {
        Map<String, String> headers = new HashMap<>();
        headers.put(WireNames.ATTEMPT, attempt);
        headers.put(WireNames.KEY, "soak-key");
        headers.put(WireNames.TIME_LEFT, Long.toString(LIMIT_MILLIS));
        headers.put(WireNames.PROGRAM, program);
        headers.put(WireNames.SESSION, program);
        return headers;
    }

    /** Sends a request and waits for its answer. */
    SoakHttp.Answer call(SoakFleet.Member entry, String path, Map<String, String> headers, String body) {
        String attempt = headers.get(WireNames.ATTEMPT);
        long limitMillis = Long.parseLong(headers.get(WireNames.TIME_LEFT));
        long sentMillis = SoakJudge.now();
        SoakRequest request = SoakRequest.of(attempt, path.split("/")[1], entry, limitMillis, sentMillis);
        judge.asked();
        judge.sent(request);
        if (path.contains(SoakAnswers.CRASH)) {
            judge.crashingRequestSent(path, attempt);
        }
        SoakHttp.Answer answer = http.call("POST", fleet.callers(entry), path, headers, body);
        if (!answer.leaving().isEmpty() && request.isSameProcess()) {
            departures.accept(request, answer.leaving());
        }
        // A stream that has begun can only be broken off at its time limit, or if its end cannot be stored.
        long now = SoakJudge.now();
        boolean mayEnd =
                !request.route().equals("once") && (now >= sentMillis + limitMillis || !fleet.isCoreStable(now));
        if (answer.status() == 0 && !mayEnd && entry.calmSince(sentMillis - ANSWER_MILLIS)) {
            judge.cut(attempt);
        }
        return answer;
    }

    /** Checks an answer that is no success. */
    void check(String attempt, String previous, SoakHttp.Answer answer) {
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
