package org.cicadahead.testbed.prove;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import org.cicadahead.testbed.ExampleResources;
import org.cicadahead.testbed.client.Caller;
import org.cicadahead.testbed.client.Traffic;
import org.cicadahead.testbed.client.Turn;
import org.cicadahead.testbed.fleet.Fleet;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;
import org.cicadahead.wire.Codec;

/** The fleet of one case with a key and what cases need to look at it. Safe for use by several threads. */
final class Scene {
    /** A revocation and a change of configuration are in force everywhere within this time, in milliseconds. */
    static final long IN_FORCE_MILLIS = 3_000;
    /** A resend that takes over a step waits for the lease of the step, 5 s, and an election. */
    static final long STEP_TIMEOUT_MILLIS = 15_000;

    private static final int TRAFFIC_THREADS = 8;
    private static final int TRAFFIC_STEPS = 3;
    private static final int TRAFFIC_TOKENS = 24;
    private static final int CREATED = 201;
    /** A replica that does not lead, has no leader, or does not know whether the change is committed. */
    private static final Set<Integer> NOT_FINAL = Set.of(307, 503, 504);

    private static final System.Logger LOG = System.getLogger("cicadahead.testbed");
    private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(HTTP_TIMEOUT)
            .build();
    private final Fleet fleet;
    private final Random random;
    private final String key;

    private Scene(Fleet fleet, Random random, String key) {
        this.fleet = fleet;
        this.random = random;
        this.key = key;
    }

    /**
     * Applies the example resources to a fleet, issues a key and waits until both are in force.
     *
     * @param fleet the running fleet
     * @param random makes the choices of the case
     * @return the scene
     * @throws FleetException if the fleet refuses
     */
    static Scene prepare(Fleet fleet, Random random) throws FleetException {
        ExampleResources.apply(fleet, 2_000, 2_000);
        Scene scene = new Scene(fleet, random, ExampleResources.issueKey(fleet));
        for (Caller caller : scene.callers()) {
            Turn probe = Turn.first("probe-" + random.nextInt(Integer.MAX_VALUE), "Probe.", 1)
                    .last();
            if (!Polling.await(IN_FORCE_MILLIS, () -> caller.chat(probe).isDone())) {
                throw new FleetException(
                        "the key is not in force after " + IN_FORCE_MILLIS + " ms: "
                                + caller.chat(probe).summary(),
                        null);
            }
        }
        return scene;
    }

    Fleet fleet() {
        return fleet;
    }

    Random random() {
        return random;
    }

    String key() {
        return key;
    }

    /** Returns one caller an entry. */
    List<Caller> callers() {
        return fleet.named("entry-").stream()
                .map(entry -> new Caller(entry.uri(), key, ExampleResources.MODEL_ROUTE))
                .toList();
    }

    /** Returns the caller of an entry, from 1. */
    Caller caller(int entry) {
        return callers().get(entry - 1);
    }

    Member pick(String prefix) {
        List<Member> members = fleet.named(prefix);
        return members.get(random.nextInt(members.size()));
    }

    Traffic traffic() {
        return Traffic.start(callers(), "traffic", TRAFFIC_THREADS, TRAFFIC_STEPS, TRAFFIC_TOKENS, STEP_TIMEOUT_MILLIS);
    }

    /** Waits until some more programs of the traffic have finished. */
    void awaitFinished(Traffic traffic, int more, long timeoutMillis) throws CaseFailure {
        int from = traffic.finished();
        boolean done = Polling.await(timeoutMillis, () -> traffic.finished() >= from + more);
        CaseFailure.unless(
                done,
                "only %d of %d programs finished within %d ms; refusals %s; faults %s",
                traffic.finished() - from,
                more,
                timeoutMillis,
                traffic.refusals(),
                traffic.faults());
    }

    /** Stops the traffic and fails the case if any program is broken. */
    void checkUnbroken(Traffic traffic) throws CaseFailure {
        CaseFailure.unless(
                traffic.stop(2 * STEP_TIMEOUT_MILLIS), "programs do not finish; refusals %s", traffic.refusals());
        CaseFailure.unless(
                traffic.faults().isEmpty(),
                "%d broken programs: %s",
                traffic.faults().size(),
                traffic.faults());
    }

    /** Returns the status of the fleet as the leader tells it. */
    JsonNode status() throws FleetException {
        return parse(admin("GET", "/admin/v1/status", "", "").body());
    }

    /** Returns the ids of the replicas that vote. */
    Set<String> voters() throws FleetException {
        Set<String> voters = new HashSet<>();
        for (JsonNode member : status().path("members")) {
            if (member.path("voter").asBoolean()) {
                voters.add(member.path("replica").asText());
            }
        }
        return voters;
    }

    /** Creates a pool, so that the revision grows, and returns the new revision. */
    long createPool(String name) throws FleetException, CaseFailure {
        HttpResponse<String> answer = admin("PUT", "/admin/v1/pools/" + name, "*", "{\"name\":\"" + name + "\"}");
        CaseFailure.unless(answer.statusCode() == CREATED, "the edit %s got %s", name, answer.body());
        return parse(answer.body()).path("revision").asLong();
    }

    /**
     * Sends an admin request to each replica in turn under one request id until the leader answers, as
     * {@code cicadactl} does, but without the start of a process.
     */
    HttpResponse<String> admin(String method, String path, String match, String body) throws FleetException {
        String requestId = UUID.randomUUID().toString();
        List<HttpResponse<String>> last = new ArrayList<>();
        boolean answered = Polling.await(STEP_TIMEOUT_MILLIS, () -> {
            for (Member control : fleet.named("control-")) {
                try {
                    HttpResponse<String> answer = edit(control.uri(), method, path, requestId, match, body);
                    if (!NOT_FINAL.contains(answer.statusCode())) {
                        last.add(answer);
                        return true;
                    }
                } catch (FleetException e) {
                    LOG.log(System.Logger.Level.DEBUG, "a replica does not answer", e);
                }
            }
            return false;
        });
        if (!answered) {
            throw new FleetException("no replica answers " + method + " " + path, null);
        }
        return last.get(0);
    }

    /** Fails the case if the configuration went back or lost the resources of the scene. */
    void checkRevision(long revision) throws FleetException, CaseFailure {
        long current = status().path("configuration").path("revision").asLong();
        CaseFailure.unless(current >= revision, "the revision went from %d back to %d", revision, current);
        String file = fleet.adminToken().resolveSibling("resources.toml").toString();
        int code = fleet.ctl("diff", "-f", file).exitCode();
        CaseFailure.unless(code == 0, "the resources of %s are lost", ExampleResources.ORGANISATION);
    }

    /** Returns the replica that leads now. */
    Member leader() throws FleetException {
        String address = status().path("leader").asText();
        for (Member control : fleet.named("control-")) {
            try {
                if (!address.isEmpty() && Files.readString(settings(control)).contains("address = \"" + address)) {
                    return control;
                }
            } catch (IOException e) {
                throw new FleetException(
                        "cannot read the settings of " + control.process().name(), e);
            }
        }
        throw new FleetException("no replica has the leader's address '" + address + "'", null);
    }

    /** Returns a replica that does not lead now. */
    Member follower() throws FleetException {
        Member leader = leader();
        List<Member> followers = fleet.named("control-").stream()
                .filter(member -> !member.equals(leader))
                .toList();
        return followers.get(random.nextInt(followers.size()));
    }

    /** Sends a request to an emulator and returns its JSON answer. */
    JsonNode emulator(Member member, String method, String path, String body) throws FleetException {
        HttpRequest request = HttpRequest.newBuilder(member.uri().resolve(path))
                .timeout(HTTP_TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return parse(send(request).body());
    }

    /** Sends an edit to a replica as given, without following redirects; an empty match sends no precondition. */
    HttpResponse<String> edit(URI admin, String method, String path, String requestId, String match, String body)
            throws FleetException {
        try {
            HttpRequest.Builder request = HttpRequest.newBuilder(admin.resolve(path))
                    .timeout(HTTP_TIMEOUT)
                    .header(
                            "Authorization",
                            "Bearer " + Files.readString(fleet.adminToken()).strip())
                    .header("Content-Type", "application/json")
                    .header("Request-Id", requestId)
                    .method(method, HttpRequest.BodyPublishers.ofString(body));
            if (match.equals("*")) {
                request.header("If-None-Match", match);
            } else if (!match.isEmpty()) {
                request.header("If-Match", match);
            }
            return send(request.build());
        } catch (IOException e) {
            throw new FleetException("cannot read the token", e);
        }
    }

    /** Sends a caller's request with its key and further headers, and returns the status. */
    int raw(URI entry, String path, String body, String... headers) throws FleetException {
        HttpRequest.Builder request = HttpRequest.newBuilder(entry.resolve(path))
                .timeout(HTTP_TIMEOUT)
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
        for (int at = 0; at < headers.length; at += 2) {
            request.header(headers[at], headers[at + 1]);
        }
        return send(request.build()).statusCode();
    }

    /** Starts a process that has ended, and waits until it is ready. */
    void restart(Member member, long timeoutMillis) throws FleetException {
        member.process().start();
        fleet.awaitReady(member, timeoutMillis);
    }

    private static Path settings(Member member) {
        return member.process().log().resolveSibling(member.process().name() + ".toml");
    }

    private HttpResponse<String> send(HttpRequest request) throws FleetException {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new FleetException(request.uri() + " does not answer", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        }
    }

    static JsonNode parse(String text) throws FleetException {
        try {
            return Codec.json().readTree(text);
        } catch (JsonProcessingException e) {
            throw new FleetException("no JSON: " + text, e);
        }
    }
}
