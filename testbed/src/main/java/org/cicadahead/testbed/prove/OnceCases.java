package org.cicadahead.testbed.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadahead.testbed.ExampleResources;
import org.cicadahead.testbed.client.Answer;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;

/** Cases on requests that may not be repeated. */
final class OnceCases {
    private static final int CALLS = 60;
    private static final int THREADS = 6;
    private static final int SENDS = 4;
    private static final String DELAY_MILLIS = "60";
    private static final long CALLS_MILLIS = 90_000;
    private static final long READY_MILLIS = 15_000;

    private OnceCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.quick(
                        "once-kill-endpoint",
                        "no request runs twice under kills of the endpoint daemon",
                        scene -> underKill(scene, scene.fleet().member("endpoint-service-1"))),
                FaultCase.quick(
                        "once-kill-entry",
                        "no request runs twice under kills of an entry",
                        scene -> underKill(scene, scene.fleet().member("entry-1"))),
                FaultCase.quick(
                        "once-kill-leader",
                        "no request runs twice under kills of the leader",
                        scene -> underKill(scene, scene.leader())),
                FaultCase.quick(
                        "once-lost-answer", "a request whose answer is lost never runs again", OnceCases::lostAnswer));
    }

    private static void underKill(Scene scene, Member victim) throws FleetException, CaseFailure {
        List<Member> services = scene.fleet().named("service-");
        for (Member service : services) {
            scene.emulator(service, "PUT", "/emulator/faults/delay_millis", DELAY_MILLIS);
        }
        Map<String, Answer> last = new ConcurrentHashMap<>();
        AtomicInteger begun = new AtomicInteger();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        for (int number = 0; number < CALLS; number++) {
            String key = "call-" + number;
            int first = number % 2;
            threads.execute(() -> call(scene, key, first, begun, last));
        }
        threads.shutdown();
        boolean some = Polling.await(CALLS_MILLIS, () -> begun.get() >= CALLS / 3);
        CaseFailure.unless(some, "the calls do not begin");
        victim.process().kill();
        scene.restart(victim, READY_MILLIS);
        try {
            boolean ended = threads.awaitTermination(CALLS_MILLIS, TimeUnit.MILLISECONDS);
            CaseFailure.unless(ended, "the calls do not end");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CaseFailure("interrupted");
        } finally {
            threads.shutdownNow();
        }
        check(last, executions(scene, services));
    }

    /** Sends a call, and sends it again under the same key until it is done or its outcome is not known. */
    private static void call(Scene scene, String key, int first, AtomicInteger begun, Map<String, Answer> last) {
        begun.incrementAndGet();
        Answer answer = null;
        for (int send = 0; send < SENDS; send++) {
            answer = scene.callers()
                    .get((first + send) % 2)
                    .service(ExampleResources.SERVICE_ROUTE, "/orders", key, "{\"order\":\"" + key + "\"}");
            if (answer.isDone() || answer.reason().equals("outcome_unknown")) {
                break;
            }
            Polling.await(1_000, () -> false);
        }
        last.put(key, answer);
    }

    private static void check(Map<String, Answer> last, Map<String, Integer> executions) throws CaseFailure {
        int done = 0;
        for (Map.Entry<String, Answer> entry : new TreeMap<>(last).entrySet()) {
            Answer answer = entry.getValue();
            int count = executions.getOrDefault(entry.getKey(), 0);
            CaseFailure.unless(count <= 1, "%s ran %d times", entry.getKey(), count);
            CaseFailure.unless(!answer.isDone() || count == 1, "%s is done but ran %d times", entry.getKey(), count);
            CaseFailure.unless(!answer.notRun() || count == 0, "%s ran, but the caller heard not run", entry.getKey());
            done += answer.isDone() ? 1 : 0;
        }
        List<String> open = new ArrayList<>();
        last.forEach((key, answer) -> {
            if (!answer.isDone() && !answer.reason().equals("outcome_unknown")) {
                open.add(key + ": " + answer.summary());
            }
        });
        CaseFailure.unless(
                open.isEmpty(), "%d of %d calls are open after %d sends: %s", open.size(), CALLS, SENDS, open);
        CaseFailure.unless(done >= CALLS - 2 * THREADS, "only %d of %d calls are done", done, CALLS);
    }

    private static void lostAnswer(Scene scene) throws FleetException, CaseFailure {
        List<Member> services = scene.fleet().named("service-");
        for (Member service : services) {
            scene.emulator(service, "PUT", "/emulator/faults/reset_after", "1");
        }
        List<Answer> answers = new ArrayList<>();
        for (int send = 0; send < SENDS; send++) {
            answers.add(scene.caller(1 + send % 2)
                    .service(ExampleResources.SERVICE_ROUTE, "/orders", "lost", "{\"order\":\"lost\"}"));
        }
        int count = executions(scene, services).getOrDefault("lost", 0);
        CaseFailure.unless(count == 1, "the call ran %d times", count);
        for (Answer answer : answers) {
            CaseFailure.unless(!answer.isDone(), "a lost answer was made up: %s", answer.text());
            CaseFailure.unless(!answer.notRun(), "the call ran, but the caller heard not run: %s", answer.summary());
        }
        String reason = answers.get(SENDS - 1).reason();
        CaseFailure.unless(reason.equals("outcome_unknown"), "a resend got %s", reason);
    }

    private static Map<String, Integer> executions(Scene scene, List<Member> services) throws FleetException {
        Map<String, Integer> counts = new TreeMap<>();
        for (Member service : services) {
            JsonNode executions = scene.emulator(service, "GET", "/emulator/executions", "");
            executions
                    .properties()
                    .forEach(field ->
                            counts.merge(field.getKey(), field.getValue().asInt(), Integer::sum));
        }
        return counts;
    }
}
