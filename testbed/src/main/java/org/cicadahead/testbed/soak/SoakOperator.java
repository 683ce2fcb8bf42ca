package org.cicadahead.testbed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The operator and the heartbeats of the endpoints. Used by one thread. */
final class SoakOperator {
    private static final int OK = 200;
    private static final int MAX_SERIES = 3;
    private static final Pattern VERSION = Pattern.compile("\\{\"version\":(\\d+),");

    private final SoakFleet fleet;
    private final SoakHttp http;
    private final SoakJudge judge;
    private final Random random;
    private final AtomicLong acknowledged = new AtomicLong();
    private final Executor executor = task -> new Thread(task, "change").start();
    private long version;
    private long sequence;

    SoakOperator(SoakFleet fleet, SoakHttp http, SoakJudge judge, Random random) {
        this.fleet = fleet;
        this.http = http;
        this.judge = judge;
        this.random = random;
    }

    /** Submits the next version; returns whether it was acknowledged. */
    boolean change() {
        return submit(++version, hub());
    }

    /** Submits a few versions, each right after the one before or all at the same time. */
    void changeInSeries() {
        int count = 1 + random.nextInt(MAX_SERIES);
        boolean overlapping = random.nextBoolean();
        List<CompletableFuture<Boolean>> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long number = ++version;
            String hub = hub();
            CompletableFuture<Boolean> change = CompletableFuture.supplyAsync(() -> submit(number, hub), executor);
            changes.add(change);
            if (!overlapping) {
                change.join();
            }
        }
        changes.forEach(CompletableFuture::join);
    }

    private boolean submit(long number, String hub) {
        boolean done =
                http.call("PUT", hub, "/-/config", Map.of(), document(number)).status() == OK;
        if (done) {
            acknowledged.accumulateAndGet(number, Math::max);
        }
        return done;
    }

    /** Reads the configuration; an older one than was acknowledged before breaks a promise. */
    boolean read() {
        long before = acknowledged.get();
        SoakHttp.Answer answer = http.call("GET", hub(), "/-/config", Map.of(), "");
        if (answer.status() != OK) {
            return false;
        }
        Matcher found = VERSION.matcher(answer.body());
        long read = found.find() ? Long.parseLong(found.group(1)) : 0;
        if (read < before) {
            judge.violation("version " + read + " was read after version " + before + " was acknowledged");
        }
        return true;
    }

    /** Sends a heartbeat of an endpoint to a hub; returns whether it was acknowledged. */
    boolean heartbeat(SoakEndpoint endpoint) {
        if (!endpoint.isUp()) {
            return false;
        }
        return http.call("PUT", hub(), "/-/instances/" + endpoint.id(), Map.of(), endpoint.heartbeat(++sequence))
                        .status()
                == OK;
    }

    private String hub() {
        return fleet.anyControl(random);
    }

    private static String document(long number) {
        return "{\"version\":" + number + ",\"routes\":[" + route("turns", "streaming", true) + ","
                + route("once", "non_idempotent", false) + "," + route("plain", "idempotent", false) + ","
                + route("resume", "streaming", false) + ","
                + route("idle" + number, "idempotent", false)
                + "],\"services\":[{\"name\":\"soak\",\"health_path\":\"/health\",\"max_connections\":100,"
                + "\"engine\":{\"slots\":16,\"kv_capacity\":1000,\"stride\":1}}],\"tenants\":[{\"name\":\"o\","
                + "\"api_keys\":[\"soak-key\"],\"rate_per_s\":2000,\"burst\":2000}]}";
    }

    private static String route(String name, String type, boolean kept) {
        return "{\"name\":\"" + name + "\",\"host\":\"soak.example\",\"path_prefix\":\"/" + name
                + "/\",\"route_type\":\"" + type + "\",\"timeout_ms\":3000,\"service\":\"soak\",\"max_attempts\":"
                + SoakRequest.maxAttempts(name) + ","
                + "\"retain\":" + kept + ",\"resumable\":" + name.equals("resume") + ",\"retention_s\":60.0}";
    }
}
