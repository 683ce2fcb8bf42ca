package org.cicadahead.testbed.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cicadahead.testbed.ExampleResources;
import org.cicadahead.testbed.client.Answer;
import org.cicadahead.testbed.client.Caller;
import org.cicadahead.testbed.client.Traffic;
import org.cicadahead.testbed.client.Turn;
import org.cicadahead.testbed.fleet.Fleet;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;

/** Cases on tools that hang, programs that loop and callers that misplace their keys. */
final class ToolCases {
    private static final int SOME_PROGRAMS = 10;
    private static final long SOME_TIME_MILLIS = 20_000;

    private static final int CREATED = 201;
    private static final int OK = 200;
    private static final int SENDS = 3;
    private static final long DEADLINE_MILLIS = 2_000;
    /** An answer at the deadline reaches the caller within this time after it, in milliseconds. */
    private static final long LATE_MILLIS = 1_000;

    private static final int BUDGET_TOKENS = 400;
    private static final int LOOP_TOKENS = 24;

    private ToolCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.quick(
                        "hung-tool",
                        "a hung tool ends its request at the deadline, runs it once and stops no other program",
                        ToolCases::hang),
                FaultCase.quick(
                        "loop-budget", "a looping program is ended by its budget, and others go on", ToolCases::loop),
                FaultCase.quick(
                        "key-places", "no engine sees a key wherever the caller puts it", ToolCases::keyPlaces));
    }

    private static void hang(Scene scene) throws FleetException, CaseFailure {
        createRoute(
                scene,
                "hung",
                "\"pool\":\"" + Fleet.SERVICE_POOL + "\",\"target\":\"SERVICE\",\"repeatable\":false,"
                        + "\"deadline_millis\":" + DEADLINE_MILLIS);
        for (int entry = 1; entry <= 2; entry++) {
            Caller caller = scene.caller(entry);
            boolean known = Polling.await(
                    Scene.IN_FORCE_MILLIS,
                    () -> caller.service("hung", "/probe", null, "{}").reason().equals("idempotency_key_required"));
            CaseFailure.unless(known, "the route is not in force after %d ms", Scene.IN_FORCE_MILLIS);
        }
        List<Member> services = scene.fleet().named("service-");
        for (Member service : services) {
            scene.emulator(service, "PUT", "/emulator/faults/hang", "1");
        }
        try (Traffic traffic = scene.traffic()) {
            String key = "hung-" + scene.random().nextInt(1_000_000);
            Answer first = scene.caller(1).service("hung", "/orders", key, "{}");
            long millis = TimeUnit.NANOSECONDS.toMillis(first.totalNanos());
            CaseFailure.unless(
                    !first.isDone() && !first.notRun() && first.status() != 0,
                    "the hanging call got %s, not_run %s",
                    first.summary(),
                    first.notRun());
            CaseFailure.unless(
                    millis <= DEADLINE_MILLIS + LATE_MILLIS,
                    "the request ended after %d ms, its deadline is %d ms",
                    millis,
                    DEADLINE_MILLIS);
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            for (Member service : services) {
                scene.emulator(service, "DELETE", "/emulator/faults/hang", "");
            }
            Answer last = first;
            for (int send = 0; send < SENDS; send++) {
                last = scene.caller(1 + send % 2).service("hung", "/orders", key, "{}");
                CaseFailure.unless(!last.isDone() && !last.notRun(), "a resend got %s", last.summary());
            }
            CaseFailure.unless(last.reason().equals("outcome_unknown"), "the last resend got %s", last.summary());
            int count = 0;
            for (Member service : services) {
                count += scene.emulator(service, "GET", "/emulator/executions", "")
                        .path(key)
                        .asInt();
            }
            CaseFailure.unless(count == 1, "the call ran %d times", count);
            Answer next = scene.caller(1).service("hung", "/orders", key + "-next", "{}");
            CaseFailure.unless(next.isDone(), "after the hang a new call got %s", next.summary());
            scene.checkUnbroken(traffic);
        }
    }

    private static void loop(Scene scene) throws FleetException, CaseFailure {
        createRoute(
                scene,
                "loop",
                "\"pool\":\"" + Fleet.ENGINE_POOL + "\",\"model\":\"" + Fleet.MODEL
                        + "\",\"repeatable\":true,\"program_budget_tokens\":" + BUDGET_TOKENS);
        List<Caller> callers = scene.fleet().named("entry-").stream()
                .map(entry -> new Caller(entry.uri(), scene.key(), "loop"))
                .toList();
        for (Caller caller : callers) {
            int[] probe = new int[1];
            boolean known = Polling.await(
                    Scene.IN_FORCE_MILLIS,
                    () -> caller.chat(Turn.first("loop-probe-" + caller.hashCode() + "-" + probe[0]++, "Hi.", 1)
                                    .last())
                            .isDone());
            CaseFailure.unless(known, "the route is not in force after %d ms", Scene.IN_FORCE_MILLIS);
        }
        try (Traffic traffic = scene.traffic()) {
            String program = "looping-" + scene.random().nextInt(1_000_000);
            Turn turn = Turn.first(program, "Go on.", LOOP_TOKENS);
            int steps = 0;
            Answer answer = callers.get(0).chat(turn);
            while (answer.isDone() && steps * LOOP_TOKENS <= BUDGET_TOKENS) {
                steps++;
                turn = turn.next("Go on.");
                answer = callers.get(steps % 2).chat(turn);
            }
            CaseFailure.unless(
                    answer.reason().equals("budget_exhausted") && answer.notRun(),
                    "after %d steps the program got %s",
                    steps,
                    answer.summary());
            CaseFailure.unless(steps >= 1, "no step was within the budget");
            Answer resend = callers.get(0).chat(turn);
            CaseFailure.unless(resend.reason().equals("budget_exhausted"), "the resend got %s", resend.summary());
            HttpResponse<String> shown =
                    scene.admin("GET", "/admin/v1/programs/" + ExampleResources.ORGANISATION + "/" + program, "", "");
            JsonNode view = Scene.parse(shown.body());
            long spent = view.path("spent_tokens").asLong(-1);
            CaseFailure.unless(spent > 0 && spent <= BUDGET_TOKENS, "the program spent %d tokens: %s", spent, view);
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
        }
    }

    private static void keyPlaces(Scene scene) throws FleetException, CaseFailure {
        String key = scene.key();
        String secret = key.substring("ck_".length());
        String escaped = "\\u0063k\\u005f" + secret;
        String chat = "{\"model\":\"" + ExampleResources.MODEL_ROUTE
                + "\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]%s}";
        String plain = String.format(chat, "Hello.", "");
        Map<String, Integer> answers = new LinkedHashMap<>();
        String path = "/v1/chat/completions";
        answers.put("other headers", send(scene, path, plain, "X-Other", key, "X-Api-Key", key, "Cookie", "k=" + key));
        answers.put("proxy header", send(scene, path, plain, "Proxy-Authorization", "Bearer " + key));
        answers.put("accept", send(scene, path, plain, "Accept", key));
        answers.put("idempotency key", send(scene, path, plain, "Idempotency-Key", key));
        answers.put("query", send(scene, path + "?api_key=" + key, plain));
        answers.put("encoded query", send(scene, path + "?q=%63k%5f" + secret, plain));
        answers.put("program", send(scene, path, plain, "Cicadahead-Program", key, "Cicadahead-Step", "1"));
        answers.put("parent", send(scene, path, plain, "Cicadahead-Program", "keys-1", "Cicadahead-Parent", key));
        answers.put("message", send(scene, path, String.format(chat, key, "")));
        answers.put("escaped message", send(scene, path, String.format(chat, escaped, "")));
        answers.put("field name", send(scene, path, String.format(chat, "Hello.", ",\"" + key + "\":1")));
        answers.put("user field", send(scene, path, String.format(chat, "Hello.", ",\"user\":\"" + key + "\"")));
        String service = "/v1/services/" + ExampleResources.SERVICE_ROUTE + "/orders";
        answers.put("service path", send(scene, service + "/" + key, "{}", "Idempotency-Key", "keys-2"));
        answers.put("service body", send(scene, service, "key=" + key, "Idempotency-Key", "keys-3"));
        answers.put("escaped service body", send(scene, service, "\"" + escaped + "\"", "Idempotency-Key", "keys-4"));
        answers.put("service idempotency key", send(scene, service, "{}", "Idempotency-Key", key));
        CaseFailure.unless(answers.get("other headers") == OK, "a request with foreign headers got %s", answers);
        List<Member> emulators = new ArrayList<>(scene.fleet().named("engine-"));
        emulators.addAll(scene.fleet().named("service-"));
        for (Member member : emulators) {
            JsonNode requests = scene.emulator(member, "GET", "/emulator/requests", "");
            for (JsonNode request : requests.path("requests")) {
                byte[] body = Base64.getDecoder().decode(request.path("body").asText());
                String text = request + new String(body, StandardCharsets.ISO_8859_1);
                CaseFailure.unless(
                        !text.contains(secret),
                        "%s saw the key in a request to %s; statuses by place %s",
                        member.process().name(),
                        request.path("uri").asText(),
                        answers);
            }
        }
    }

    private static int send(Scene scene, String path, String body, String... headers) throws FleetException {
        return scene.raw(
                scene.fleet().member("entry-" + (1 + scene.random().nextInt(2))).uri(), path, body, headers);
    }

    private static void createRoute(Scene scene, String name, String fields) throws FleetException, CaseFailure {
        String body = "{\"name\":\"" + name + "\",\"organisations\":[\"" + ExampleResources.ORGANISATION + "\"],"
                + fields + "}";
        HttpResponse<String> answer = scene.admin("PUT", "/admin/v1/routes/" + name, "*", body);
        CaseFailure.unless(answer.statusCode() == CREATED, "the route got %s", answer.body());
    }
}
