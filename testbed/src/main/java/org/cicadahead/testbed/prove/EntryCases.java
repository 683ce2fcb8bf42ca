package org.cicadahead.testbed.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cicadahead.testbed.ExampleResources;
import org.cicadahead.testbed.client.Answer;
import org.cicadahead.testbed.client.Caller;
import org.cicadahead.testbed.client.Traffic;
import org.cicadahead.testbed.client.Turn;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;

/** Cases that break entries and revoke keys. */
final class EntryCases {
    private static final int SOME_PROGRAMS = 10;
    private static final long SOME_TIME_MILLIS = 20_000;
    private static final long READY_MILLIS = 15_000;
    private static final long EXIT_MILLIS = 35_000;
    /** So many tokens take longer than any case waits for a revocation. */
    private static final int LONG_TOKENS = 2_000;

    private static final int OK = 200;
    private static final Set<String> REVOKED = Set.of("key_revoked", "configuration_lease_expired");
    /** Endpoints drop an entry that is silent for 5 s, so that a stream may have ended before the entry continues. */
    private static final Set<String> FROZEN = Set.of("key_revoked", "configuration_lease_expired", "endpoint_lost");

    private static final int MIDDLE_TOKENS = 150;
    private static final int STREAMS = 6;

    private EntryCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.quick("kill-entry", "kill -9 of an entry breaks no program", EntryCases::kill),
                FaultCase.quick(
                        "freeze-entry",
                        "an entry frozen past its leases applies a revocation afterwards",
                        EntryCases::freeze),
                FaultCase.linked(
                        "partition-entry",
                        "a revoked key stops working within 3 s at a partitioned entry",
                        EntryCases::partition),
                FaultCase.quick(
                        "revoke-key", "a revoked key ends its streams and its requests within 3 s", EntryCases::revoke),
                FaultCase.quick(
                        "shutdown-entry", "a graceful shutdown of an entry cuts no request", EntryCases::shutdown));
    }

    private static void kill(Scene scene) throws FleetException, CaseFailure {
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            Member entry = scene.pick("entry-");
            entry.process().kill();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.restart(entry, READY_MILLIS);
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
        }
    }

    private static void revoke(Scene scene) throws FleetException, CaseFailure {
        Stream stream = Stream.open(scene.caller(1), "revoked");
        long startNanos = revokeKey(scene, onlyDigest(scene));
        checkRevoked(scene, stream, startNanos, REVOKED);
    }

    private static void partition(Scene scene) throws FleetException, CaseFailure {
        Stream stream = Stream.open(scene.caller(1), "partitioned");
        String digest = onlyDigest(scene);
        URI admin = scene.leader().uri();
        scene.fleet().isolate("entry-1", "control-");
        long startNanos = revokeKey(scene, admin, digest);
        checkRevoked(scene, stream, startNanos, REVOKED);
        scene.fleet().heal();
        Answer late = scene.caller(1).chat(Turn.first("late", "Hello.", 1));
        CaseFailure.unless(!late.isDone(), "the revoked key works after the partition is healed");
    }

    private static void freeze(Scene scene) throws FleetException, CaseFailure {
        Stream stream = Stream.open(scene.caller(1), "frozen");
        String digest = onlyDigest(scene);
        Member entry = scene.fleet().member("entry-1");
        entry.process().freeze();
        scene.fleet().ctl("keys", "revoke", digest).orThrow("cicadactl keys revoke");
        boolean expired = Polling.await(Scene.IN_FORCE_MILLIS, () -> false);
        CaseFailure.unless(!expired, "the wait ended early");
        long startNanos = System.nanoTime();
        entry.process().thaw();
        Answer first = scene.caller(1).chat(Turn.first("thawed", "Hello.", 1));
        CaseFailure.unless(!first.isDone(), "the revoked key works at an entry that was frozen");
        checkRevoked(scene, stream, startNanos, FROZEN);
    }

    private static void shutdown(Scene scene) throws FleetException, CaseFailure {
        List<Stream> streams = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            streams.add(Stream.open(scene.caller(1), "shutdown-" + number, MIDDLE_TOKENS));
        }
        Member entry = scene.fleet().member("entry-1");
        entry.process().terminate();
        for (Stream stream : streams) {
            Answer answer = stream.await(EXIT_MILLIS);
            CaseFailure.unless(answer.isDone(), "a stream was cut: %s", answer.summary());
        }
        CaseFailure.unless(entry.process().awaitExit(EXIT_MILLIS), "the entry does not end");
        CaseFailure.unless(
                entry.process().exitCode() == 0,
                "the exit code is %d",
                entry.process().exitCode());
    }

    /** Revokes a key and returns when the request was sent, in nanoseconds. */
    private static long revokeKey(Scene scene, String digest) throws FleetException, CaseFailure {
        return revokeKey(scene, scene.leader().uri(), digest);
    }

    private static long revokeKey(Scene scene, URI admin, String digest) throws FleetException, CaseFailure {
        long startNanos = System.nanoTime();
        int status = scene.edit(admin, "DELETE", "/admin/v1/keys/" + digest, digest.substring(0, 8), "", "")
                .statusCode();
        CaseFailure.unless(status == OK, "the revocation got status %d", status);
        return startNanos;
    }

    private static void checkRevoked(Scene scene, Stream stream, long startNanos, Set<String> ends) throws CaseFailure {
        Answer answer = stream.await(Scene.IN_FORCE_MILLIS);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        CaseFailure.unless(!answer.complete(), "the stream of a revoked key was completed");
        CaseFailure.unless(ends.contains(answer.reason()), "the stream ended with: %s", answer.summary());
        CaseFailure.unless(millis <= Scene.IN_FORCE_MILLIS, "the stream ended after %d ms", millis);
        for (Caller caller : scene.callers()) {
            long leftMillis = Scene.IN_FORCE_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            int[] number = new int[1];
            boolean refused = Polling.await(
                    Math.max(1, leftMillis),
                    () -> !caller.chat(Turn.first("again-" + millis + "-" + number[0]++, "Hello.", 1))
                            .isDone());
            CaseFailure.unless(refused, "the revoked key still works at an entry");
        }
    }

    private static String onlyDigest(Scene scene) throws FleetException, CaseFailure {
        JsonNode keys = Scene.parse(scene.admin("GET", "/admin/v1/keys", "", "").body());
        String digest = keys.findPath("digest").asText();
        CaseFailure.unless(!digest.isEmpty(), "no key of %s is listed", ExampleResources.ORGANISATION);
        return digest;
    }

    /** A request whose answer has begun to arrive. */
    private static final class Stream {
        private final CompletableFuture<Answer> answer = new CompletableFuture<>();
        private final CountDownLatch begun = new CountDownLatch(1);

        static Stream open(Caller caller, String program) throws CaseFailure {
            return open(caller, program, LONG_TOKENS);
        }

        static Stream open(Caller caller, String program, int tokens) throws CaseFailure {
            Stream stream = new Stream();
            Turn turn = Turn.first(program, "Tell a long story.", tokens);
            Thread thread = new Thread(
                    () -> stream.answer.complete(caller.chat(turn, token -> stream.begun.countDown())), program);
            thread.setDaemon(true);
            thread.start();
            try {
                CaseFailure.unless(
                        stream.begun.await(SOME_TIME_MILLIS, TimeUnit.MILLISECONDS), "the stream does not begin");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new CaseFailure("interrupted");
            }
            return stream;
        }

        Answer await(long timeoutMillis) throws CaseFailure {
            try {
                return answer.get(timeoutMillis, TimeUnit.MILLISECONDS);
            } catch (TimeoutException | ExecutionException e) {
                throw new CaseFailure("the stream does not end within " + timeoutMillis + " ms");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new CaseFailure("interrupted");
            }
        }
    }
}
