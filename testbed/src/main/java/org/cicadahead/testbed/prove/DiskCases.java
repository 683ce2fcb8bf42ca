package org.cicadahead.testbed.prove;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.cicadahead.testbed.client.Traffic;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;

/**
 * A case in which the disk of each control replica in turn is full for some seconds, never of two at once. Used by one
 * thread.
 *
 * <p>It goes on after a check that failed, until an edit is not accepted, and reports all of them, because the loss of
 * one replica shows only when the next one fails.
 */
final class DiskCases {
    private static final long FULL_MILLIS = 4_000;
    /** Edits are accepted within this time whenever a majority can write. */
    private static final long EDIT_MILLIS = 3_000;
    /** A replica that cannot write answers well before the time-out of edits, 10 s. */
    private static final long ANSWER_MILLIS = 2_000;
    /** A replica is whole again within this time after it can write. */
    private static final long WHOLE_MILLIS = 5_000;

    private static final long EDIT_INTERVAL_MILLIS = 200;
    private static final int EDITS_AFTER = 3;
    private static final int SOME_PROGRAMS = 10;
    private static final long SOME_TIME_MILLIS = 20_000;
    private static final int OK = 200;
    private static final int CREATED = 201;

    private final Scene scene;
    private final List<String> violations = new ArrayList<>();
    private final List<String> accepted = new ArrayList<>();
    private String lastAnswer = "";

    private DiskCases(Scene scene) {
        this.scene = scene;
    }

    static List<FaultCase> all() {
        return List.of(FaultCase.quick(
                "disks-full-in-turn",
                "full disks of control replicas, one after another, stop no call and no edit",
                scene -> new DiskCases(scene).fillInTurn()));
    }

    private void fillInTurn() throws FleetException, CaseFailure {
        Set<String> voters = scene.voters();
        long revision = scene.createPool("before");
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            for (Member replica : scene.fleet().named("control-")) {
                fill(replica, traffic);
            }
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
            int expired = traffic.refusals().getOrDefault("configuration_lease_expired", 0);
            check(expired == 0, "%d calls were refused with configuration_lease_expired", expired);
        } catch (CaseFailure e) {
            violations.add(e.getMessage());
        }
        CaseFailure.unless(violations.isEmpty(), "%s", String.join("; ", violations));
        checkEdits(revision);
        CaseFailure.unless(scene.voters().equals(voters), "the voters were %s and are %s", voters, scene.voters());
    }

    private void fill(Member replica, Traffic traffic) throws FleetException, CaseFailure {
        String name = replica.process().name();
        int before = traffic.finished();
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FULL_MILLIS);
        replica.process().denyWrites();
        try {
            int number = 0;
            do {
                edit(replica, "while-" + name + "-" + number++);
                pause();
            } while (System.nanoTime() - untilNanos < 0);
        } finally {
            replica.process().allowWrites();
        }
        edit(replica, "after-" + name);
        check(traffic.finished() > before, "no program finished while the disk of %s was full", name);
        long index = lastIndex();
        check(
                Polling.await(WHOLE_MILLIS, () -> isWhole(index)),
                "not all replicas vote and are caught up %d ms after %s can write",
                WHOLE_MILLIS,
                name);
        for (int number = 0; number < EDITS_AFTER; number++) {
            edit(replica, "whole-" + name + "-" + number);
        }
        for (Member control : scene.fleet().named("control-")) {
            check(control.process().isAlive(), "%s ended", control.process().name());
        }
    }

    /** Sends an edit to a replica and then, under the same request id, to all in turn until one accepts it. */
    private void edit(Member first, String pool) throws CaseFailure {
        String requestId = UUID.randomUUID().toString();
        long startNanos = System.nanoTime();
        boolean done = put(first, pool, requestId);
        long answerMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        check(
                answerMillis <= ANSWER_MILLIS,
                "%s took %d ms over the edit %s (%s)",
                first.process().name(),
                answerMillis,
                pool,
                lastAnswer);
        boolean inTime = done
                || Polling.await(
                        EDIT_MILLIS - answerMillis,
                        () -> scene.fleet().named("control-").stream()
                                .anyMatch(control -> put(control, pool, requestId)));
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        CaseFailure.unless(
                inTime, "the edit %s was not accepted by any replica within %d ms (%s)", pool, millis, lastAnswer);
        accepted.add(pool);
        check(millis <= EDIT_MILLIS, "the edit %s was accepted after %d ms", pool, millis);
    }

    private boolean put(Member control, String pool, String requestId) {
        String body = "{\"name\":\"" + pool + "\"}";
        try {
            HttpResponse<String> answer =
                    scene.edit(control.uri(), "PUT", "/admin/v1/pools/" + pool, requestId, "*", body);
            lastAnswer = control.process().name() + ": status " + answer.statusCode();
            return answer.statusCode() == CREATED;
        } catch (FleetException e) {
            lastAnswer = control.process().name() + ": no answer";
            return false;
        }
    }

    /** Fails the case if an accepted edit is missing or an edit was applied more than once. */
    private void checkEdits(long before) throws FleetException, CaseFailure {
        for (String pool : accepted) {
            int status = scene.admin("GET", "/admin/v1/pools/" + pool, "", "").statusCode();
            CaseFailure.unless(status == OK, "the accepted edit %s is lost, status %d", pool, status);
        }
        scene.checkRevision(before + accepted.size());
        long applied = scene.status().path("configuration").path("revision").asLong() - before;
        CaseFailure.unless(
                applied == accepted.size(), "%d edits were applied of %d accepted", applied, accepted.size());
    }

    /** Returns whether as many replicas as the fleet has vote and have the log up to an index. */
    private boolean isWhole(long index) {
        long whole = 0;
        for (JsonNode member : members()) {
            whole += member.path("voter").asBoolean()
                            && member.path("match_index").asLong(-1) >= index
                    ? 1
                    : 0;
        }
        return whole == scene.fleet().named("control-").size();
    }

    /** Returns the last index of the leader's log, or the highest possible one if no leader tells it. */
    private long lastIndex() {
        long last = -1;
        for (JsonNode member : members()) {
            last = Math.max(last, member.path("match_index").asLong(-1));
        }
        return last < 0 ? Long.MAX_VALUE : last;
    }

    /** Returns the members as the leader tells them, or none if no replica answers as the leader. */
    private JsonNode members() {
        for (Member control : scene.fleet().named("control-")) {
            try {
                HttpResponse<String> answer = scene.edit(
                        control.uri(),
                        "GET",
                        "/admin/v1/status",
                        UUID.randomUUID().toString(),
                        "",
                        "");
                if (answer.statusCode() == OK) {
                    return Scene.parse(answer.body()).path("members");
                }
            } catch (FleetException e) {
                lastAnswer = control.process().name() + ": no answer";
            }
        }
        return MissingNode.getInstance();
    }

    private void check(boolean holds, String format, Object... arguments) {
        if (!holds) {
            violations.add(String.format(format, arguments));
        }
    }

    private static void pause() {
        Polling.await(EDIT_INTERVAL_MILLIS, () -> false);
    }
}
