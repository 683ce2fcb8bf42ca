package org.cicadahead.testbed.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.cicadahead.testbed.client.Answer;
import org.cicadahead.testbed.client.Traffic;
import org.cicadahead.testbed.client.Turn;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;

/** Cases that break endpoint daemons and engines. */
final class EndpointCases {
    private static final int SOME_PROGRAMS = 10;
    private static final long SOME_TIME_MILLIS = 20_000;
    private static final long READY_MILLIS = 15_000;
    private static final long EXIT_MILLIS = 35_000;
    /** A leaving endpoint gets no new work after this time, in milliseconds. */
    private static final long LEAVING_MILLIS = 2_000;
    /** The cache of an ended program is released within this time, in milliseconds. */
    private static final long RELEASE_MILLIS = 5_000;

    private static final int POISON_SENDS = 6;
    private static final String MARKER = "poison-marker";

    private EndpointCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.quick(
                        "kill-endpoint", "kill -9 of an endpoint daemon breaks no program", EndpointCases::killDaemon),
                FaultCase.quick("kill-engine", "kill -9 of an engine breaks no program", EndpointCases::killEngine),
                FaultCase.quick("freeze-endpoint", "a frozen endpoint daemon breaks no program", EndpointCases::freeze),
                FaultCase.quick(
                        "shutdown-endpoint",
                        "a graceful shutdown of an endpoint cuts no request",
                        EndpointCases::shutdown),
                FaultCase.quick("drain", "a drained endpoint gets no new work after 2 s", EndpointCases::drain),
                FaultCase.quick(
                        "engine-memory", "no engine memory stays held by ended programs", EndpointCases::memory),
                FaultCase.quick("poison", "a request that crashes engines crashes two at most", EndpointCases::poison));
    }

    private static void killDaemon(Scene scene) throws FleetException, CaseFailure {
        Member endpoint = scene.pick("endpoint-engine-");
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            endpoint.process().kill();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.restart(endpoint, READY_MILLIS);
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
        }
    }

    private static void killEngine(Scene scene) throws FleetException, CaseFailure {
        try (Supervisor supervisor = Supervisor.start(scene.fleet().named("engine-"));
                Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.pick("engine-").process().kill();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
            CaseFailure.unless(supervisor.restarts() == 1, "there were %d restarts", supervisor.restarts());
        }
    }

    private static void freeze(Scene scene) throws FleetException, CaseFailure {
        Member endpoint = scene.pick("endpoint-engine-");
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            endpoint.process().freeze();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            endpoint.process().thaw();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
        }
    }

    private static void shutdown(Scene scene) throws FleetException, CaseFailure {
        Member endpoint = scene.pick("endpoint-engine-");
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            endpoint.process().terminate();
            CaseFailure.unless(endpoint.process().awaitExit(EXIT_MILLIS), "the endpoint daemon does not end");
            CaseFailure.unless(
                    endpoint.process().exitCode() == 0,
                    "the exit code is %d",
                    endpoint.process().exitCode());
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
            CaseFailure.unless(traffic.refusals().isEmpty(), "requests were cut or refused: %s", traffic.refusals());
        }
    }

    private static void drain(Scene scene) throws FleetException, CaseFailure {
        Member engine = scene.pick("engine-");
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.fleet().ctl("drain", engine.process().name()).orThrow("cicadactl drain");
            Polling.await(LEAVING_MILLIS, () -> false);
            long received = accounting(scene, engine).path("received").asLong();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            long later = accounting(scene, engine).path("received").asLong();
            scene.checkUnbroken(traffic);
            CaseFailure.unless(later == received, "the drained endpoint got %d requests", later - received);
            CaseFailure.unless(traffic.refusals().isEmpty(), "requests were cut or refused: %s", traffic.refusals());
        }
    }

    private static void memory(Scene scene) throws FleetException, CaseFailure {
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
        }
        List<String> held = new ArrayList<>();
        boolean released = Polling.await(RELEASE_MILLIS, () -> {
            held.clear();
            for (Member engine : scene.fleet().named("engine-")) {
                held.addAll(owners(scene, engine));
            }
            return held.isEmpty();
        });
        CaseFailure.unless(released, "after %d ms engines hold cache of %s", RELEASE_MILLIS, held);
    }

    private static void poison(Scene scene) throws FleetException, CaseFailure {
        List<Member> engines = scene.fleet().named("engine-");
        for (Member engine : engines) {
            scene.emulator(engine, "PUT", "/emulator/faults/crash_marker", MARKER);
        }
        try (Supervisor supervisor = Supervisor.start(engines);
                Traffic traffic = scene.traffic()) {
            Turn turn = Turn.first("poisonous", "Run the " + MARKER + ".", 4);
            Answer answer = scene.caller(1).chat(turn);
            for (int send = 1; send < POISON_SENDS && !answer.reason().equals("request_poisonous"); send++) {
                for (Member engine : engines) {
                    Polling.await(READY_MILLIS, engine::isReady);
                    scene.emulator(engine, "PUT", "/emulator/faults/crash_marker", MARKER);
                }
                answer = scene.caller(1 + send % 2).chat(turn);
            }
            CaseFailure.unless(
                    answer.reason().equals("request_poisonous"), "after %d sends: %s", POISON_SENDS, answer.summary());
            CaseFailure.unless(supervisor.restarts() <= 2, "%d engines crashed", supervisor.restarts());
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
        }
    }

    private static JsonNode accounting(Scene scene, Member engine) throws FleetException {
        return scene.emulator(engine, "GET", "/emulator/accounting", "");
    }

    private static List<String> owners(Scene scene, Member engine) {
        List<String> owners = new ArrayList<>();
        try {
            accounting(scene, engine).path("owners").fieldNames().forEachRemaining(owners::add);
        } catch (FleetException e) {
            owners.add(engine.process().name() + " does not answer");
        }
        return owners;
    }
}
