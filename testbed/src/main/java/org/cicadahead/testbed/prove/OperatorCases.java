package org.cicadahead.testbed.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadahead.testbed.ExampleResources;
import org.cicadahead.testbed.client.Answer;
import org.cicadahead.testbed.client.Caller;
import org.cicadahead.testbed.client.Turn;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;

/** Cases on operators, keys and rates. */
final class OperatorCases {
    private static final int EDITORS = 8;
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int CONFLICT = 409;
    private static final double RATE_PER_SECOND = 20;
    private static final long BURST = 20;
    private static final int RATE_THREADS = 12;
    private static final long RATE_MILLIS = 4_000;

    private OperatorCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.quick(
                        "concurrent-edits", "one of several edits under one revision is accepted", OperatorCases::race),
                FaultCase.quick("resent-edit", "a resent edit takes effect once", OperatorCases::resend),
                FaultCase.quick("key-secret", "no engine and no service sees a key", OperatorCases::secret),
                FaultCase.quick(
                        "rate", "two entries together admit rate x time + burst at most", scene -> rate(scene, false)),
                FaultCase.quick(
                        "rate-failover",
                        "also while the leader is killed, rate x time + burst at most is admitted",
                        scene -> rate(scene, true)));
    }

    private static void race(Scene scene) throws FleetException, CaseFailure {
        URI admin = admin(scene);
        ExecutorService threads = Executors.newFixedThreadPool(EDITORS);
        try {
            List<Callable<Integer>> edits = new ArrayList<>();
            for (int editor = 0; editor < EDITORS; editor++) {
                String policy = editor % 2 == 0 ? "fair" : "latency";
                edits.add(() -> scene.edit(
                                admin,
                                "PUT",
                                "/admin/v1/pools/raced",
                                UUID.randomUUID().toString(),
                                "*",
                                pool(policy))
                        .statusCode());
            }
            int accepted = 0;
            for (Future<Integer> edit : threads.invokeAll(edits)) {
                int status = edit.get();
                CaseFailure.unless(status == CREATED || status == CONFLICT, "an edit got status %d", status);
                accepted += status == CREATED ? 1 : 0;
            }
            CaseFailure.unless(accepted == 1, "%d of %d edits were accepted", accepted, EDITORS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CaseFailure("interrupted");
        } catch (ExecutionException e) {
            throw new FleetException("an edit failed", e);
        } finally {
            threads.shutdownNow();
        }
    }

    private static void resend(Scene scene) throws FleetException, CaseFailure {
        URI admin = admin(scene);
        String id = UUID.randomUUID().toString();
        HttpResponse<String> first = scene.edit(admin, "PUT", "/admin/v1/pools/raced", id, "*", pool("fair"));
        Member leader = scene.leader();
        leader.process().kill();
        scene.restart(leader, Scene.STEP_TIMEOUT_MILLIS);
        HttpResponse<String> second = scene.edit(admin(scene), "PUT", "/admin/v1/pools/raced", id, "*", pool("fair"));
        CaseFailure.unless(first.statusCode() == CREATED, "the edit got status %d", first.statusCode());
        CaseFailure.unless(
                second.statusCode() == CREATED || second.statusCode() == OK,
                "the resend got status %d",
                second.statusCode());
        CaseFailure.unless(
                first.headers().firstValue("ETag").equals(second.headers().firstValue("ETag")),
                "the resend got another revision: %s",
                second.headers().firstValue("ETag"));
    }

    private static void secret(Scene scene) throws FleetException, CaseFailure {
        Answer chat = scene.caller(1).chat(Turn.first("secret", "Hello.", 4).last());
        Answer call = scene.caller(2).service(ExampleResources.SERVICE_ROUTE, "/orders", "secret", "{}");
        CaseFailure.unless(chat.isDone() && call.isDone(), "%s; %s", chat.summary(), call.summary());
        List<Member> emulators = new ArrayList<>(scene.fleet().named("engine-"));
        emulators.addAll(scene.fleet().named("service-"));
        String random = scene.key().substring("ck_".length());
        for (Member member : emulators) {
            for (JsonNode request :
                    scene.emulator(member, "GET", "/emulator/requests", "").path("requests")) {
                byte[] body = Base64.getDecoder().decode(request.path("body").asText());
                String text = request + new String(body, StandardCharsets.ISO_8859_1);
                CaseFailure.unless(
                        !text.contains(random),
                        "%s saw the key",
                        member.process().name());
            }
        }
    }

    private static void rate(Scene scene, boolean failover) throws FleetException, CaseFailure {
        ExampleResources.apply(scene.fleet(), RATE_PER_SECOND, BURST);
        Polling.await(Scene.IN_FORCE_MILLIS, () -> false);
        AtomicLong admitted = new AtomicLong();
        AtomicLong wrongful = new AtomicLong();
        Member leader = scene.leader();
        long startNanos = System.nanoTime();
        long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(RATE_MILLIS);
        List<Thread> threads = new ArrayList<>();
        List<Caller> callers = scene.callers();
        for (int number = 0; number < RATE_THREADS; number++) {
            Caller caller = callers.get(number % callers.size());
            String prefix = "rate-" + number + "-";
            Thread thread = new Thread(() -> {
                int count = 0;
                while (System.nanoTime() - endNanos < 0) {
                    Answer answer =
                            caller.chat(Turn.first(prefix + count++, "Hi.", 1).last());
                    admitted.addAndGet(answer.isDone() ? 1 : 0);
                    wrongful.addAndGet(answer.reason().equals("rate_grant_unavailable") ? 1 : 0);
                }
            });
            threads.add(thread);
            thread.start();
        }
        if (failover) {
            Polling.await(RATE_MILLIS / 4, () -> false);
            leader.process().kill();
        }
        join(threads);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double bound = RATE_PER_SECOND * seconds + BURST;
        CaseFailure.unless(
                admitted.get() <= bound, "%d requests in %.2f s, allowed are %.1f", admitted.get(), seconds, bound);
        CaseFailure.unless(failover || wrongful.get() == 0, "%d wrongful refusals", wrongful.get());
        CaseFailure.unless(
                failover || admitted.get() >= RATE_PER_SECOND * (RATE_MILLIS / 1e3),
                "only %d requests were admitted in %.2f s",
                admitted.get(),
                seconds);
    }

    private static void join(List<Thread> threads) throws CaseFailure {
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new CaseFailure("interrupted");
            }
        }
    }

    private static String pool(String policy) {
        return "{\"name\":\"raced\",\"policy\":\"" + policy + "\"}";
    }

    /** Returns the admin address of the leader. */
    private static URI admin(Scene scene) throws FleetException {
        return scene.leader().uri();
    }
}
