package org.cicadahead.testbed.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cicadahead.testbed.client.Traffic;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;

/** Cases with two faults of control at once or one right after the other. */
final class PairCases {
    private static final int SOME_PROGRAMS = 10;
    private static final long SOME_TIME_MILLIS = 20_000;
    private static final long READY_MILLIS = 15_000;

    private static final int EDITORS = 8;
    /** The leader is killed within this time after the first edit is sent, in milliseconds. */
    private static final int KILL_MILLIS = 60;

    private static final int CREATED = 201;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    /** A day brings 470 changes; a process that was down for a day has missed more than that. */
    private static final int CHANGES = 500;

    private static final String RACED = "/admin/v1/pools/raced";

    private PairCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.quick(
                        "race-kill-leader",
                        "one of several edits under one revision is accepted also while the leader is killed",
                        PairCases::race),
                FaultCase.quick(
                        "loss-after-repair",
                        "a second replica lost right after a repair of the first costs no answer and no edit",
                        PairCases::lossAfterRepair),
                FaultCase.quick(
                        "late-process",
                        "processes that come back after 500 edits have all of them, an entry within 3 s",
                        PairCases::late),
                FaultCase.quick(
                        "loss-after-new-disk",
                        "an emptied replica votes again under a new id, after which another may be lost",
                        PairCases::lossAfterNewDisk));
    }

    private static void race(Scene scene) throws FleetException, CaseFailure {
        Member leader = scene.leader();
        ExecutorService threads = Executors.newFixedThreadPool(EDITORS);
        try {
            List<Future<HttpResponse<String>>> edits = new ArrayList<>();
            for (int editor = 0; editor < EDITORS; editor++) {
                String body = "{\"name\":\"raced\",\"policy\":\"" + (editor % 2 == 0 ? "fair" : "latency") + "\"}";
                edits.add(threads.submit(() -> scene.admin("PUT", RACED, "*", body)));
            }
            Polling.await(1 + scene.random().nextInt(KILL_MILLIS), () -> false);
            leader.process().kill();
            List<HttpResponse<String>> accepted = new ArrayList<>();
            for (Future<HttpResponse<String>> edit : edits) {
                HttpResponse<String> answer = edit.get();
                int status = answer.statusCode();
                CaseFailure.unless(status == CREATED || status == CONFLICT, "an edit got %d %s", status, answer.body());
                if (status == CREATED) {
                    accepted.add(answer);
                }
            }
            CaseFailure.unless(accepted.size() == 1, "%d of %d edits were accepted", accepted.size(), EDITORS);
            JsonNode winner = Scene.parse(accepted.get(0).body());
            checkRaced(scene, winner);
            scene.restart(leader, READY_MILLIS);
            checkRaced(scene, winner);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CaseFailure("interrupted");
        } catch (ExecutionException e) {
            throw new FleetException("an edit failed: " + e.getCause().getMessage(), e);
        } finally {
            threads.shutdownNow();
        }
    }

    private static void checkRaced(Scene scene, JsonNode winner) throws FleetException, CaseFailure {
        HttpResponse<String> current = scene.admin("GET", RACED, "", "");
        CaseFailure.unless(
                current.statusCode() == OK && Scene.parse(current.body()).equals(winner),
                "accepted was %s, in force is %s",
                winner,
                current.body());
    }

    private static void lossAfterRepair(Scene scene) throws FleetException, CaseFailure {
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            Member first = scene.follower();
            first.process().kill();
            scene.createPool("before-repair");
            scene.restart(first, READY_MILLIS);
            Member second = another(scene, first);
            second.process().kill();
            long revision = scene.createPool("after-repair");
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkRevision(revision);
            scene.restart(second, READY_MILLIS);
            scene.checkUnbroken(traffic);
        }
    }

    private static void late(Scene scene) throws FleetException, CaseFailure {
        Member follower = scene.follower();
        Member entry = scene.pick("entry-");
        follower.process().kill();
        entry.process().kill();
        long revision = scene.createPool("late");
        for (int change = 0; change < CHANGES; change++) {
            String body = "{\"name\":\"late\",\"policy\":\"" + (change % 2 == 0 ? "latency" : "fair") + "\"}";
            HttpResponse<String> answer = scene.admin("PUT", "/admin/v1/pools/late", "\"" + revision + "\"", body);
            CaseFailure.unless(answer.statusCode() == OK, "edit %d got %s", change, answer.body());
            long next = Scene.parse(answer.body()).path("revision").asLong();
            CaseFailure.unless(next == revision + 1, "revision %d was followed by %d", revision, next);
            revision = next;
        }
        scene.restart(entry, READY_MILLIS);
        String name = entry.process().name();
        long[] applied = new long[1];
        long expected = revision;
        boolean current = Polling.await(Scene.IN_FORCE_MILLIS, () -> {
            applied[0] = appliedRevision(scene, name);
            return applied[0] >= expected;
        });
        CaseFailure.unless(
                current, "%s is at revision %d of %d after %d ms", name, applied[0], expected, Scene.IN_FORCE_MILLIS);
        scene.restart(follower, READY_MILLIS);
        another(scene, follower).process().kill();
        scene.checkRevision(revision);
        scene.createPool("after-late");
    }

    private static void lossAfterNewDisk(Scene scene) throws FleetException, CaseFailure {
        Set<String> before = scene.voters();
        Member emptied = scene.follower();
        emptied.process().kill();
        scene.fleet().emptyDisk(emptied.process().name());
        scene.createPool("before-join");
        emptied.process().start();
        Set<String> after = new HashSet<>();
        boolean joined = Polling.await(SOME_TIME_MILLIS, () -> {
            after.clear();
            try {
                after.addAll(scene.voters());
            } catch (FleetException e) {
                return false;
            }
            return after.size() == before.size() && !before.containsAll(after);
        });
        CaseFailure.unless(joined, "the emptied replica does not vote again; voters were %s, are %s", before, after);
        another(scene, emptied).process().kill();
        long revision = scene.createPool("after-join");
        scene.checkRevision(revision);
        CaseFailure.unless(
                scene.admin("GET", "/admin/v1/pools/before-join", "", "").statusCode() == OK, "an edit is lost");
    }

    /** Returns a running replica other than the given one. */
    private static Member another(Scene scene, Member member) {
        List<Member> others = scene.fleet().named("control-").stream()
                .filter(one -> !one.equals(member))
                .toList();
        return others.get(scene.random().nextInt(others.size()));
    }

    private static long appliedRevision(Scene scene, String daemon) {
        try {
            for (JsonNode one : scene.status().path("daemons")) {
                if (one.path("id").asText().equals(daemon)) {
                    return one.path("configuration_revision").asLong(-1);
                }
            }
        } catch (FleetException e) {
            return -1;
        }
        return -1;
    }
}
