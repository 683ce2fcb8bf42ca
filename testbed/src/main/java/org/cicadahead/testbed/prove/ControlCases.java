package org.cicadahead.testbed.prove;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cicadahead.testbed.client.Answer;
import org.cicadahead.testbed.client.Traffic;
import org.cicadahead.testbed.client.Turn;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;
import org.cicadahead.testbed.fleet.Polling;

/** Cases that break control replicas. */
final class ControlCases {
    private static final int SOME_PROGRAMS = 10;
    private static final long SOME_TIME_MILLIS = 20_000;
    private static final long READY_MILLIS = 15_000;
    /** At most one wrongful refusal in so many requests while the leader is lost. */
    private static final int REQUESTS_A_WRONGFUL_REFUSAL = 1_000;

    private static final long POLL_MILLIS = 100;

    private static final int STEPS = 3;

    private ControlCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.quick("kill-leader", "kill -9 of the leader loses no answer and no edit", ControlCases::kill),
                FaultCase.quick(
                        "kill-follower", "kill -9 of a follower is not noticed by callers", ControlCases::killFollower),
                FaultCase.quick(
                        "freeze-leader", "a leader frozen past its lease changes nothing after", ControlCases::freeze),
                FaultCase.linked(
                        "partition-leader",
                        "a silently partitioned leader is replaced, and no edit reverts",
                        ControlCases::partition),
                FaultCase.quick(
                        "empty-disk",
                        "a replica with an emptied disk has no vote, and no edit is lost",
                        ControlCases::empty),
                FaultCase.quick(
                        "lose-majority",
                        "without a majority keyed routes are refused as not run within 3 s, and recover",
                        ControlCases::loseMajority));
    }

    private static void kill(Scene scene) throws FleetException, CaseFailure {
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            long revision = scene.createPool("before");
            Member leader = scene.leader();
            leader.process().kill();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkRevision(revision);
            scene.createPool("after");
            scene.restart(leader, READY_MILLIS);
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkUnbroken(traffic);
            checkWrongful(traffic);
        }
    }

    private static void killFollower(Scene scene) throws FleetException, CaseFailure {
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            Member follower = scene.follower();
            follower.process().kill();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.restart(follower, READY_MILLIS);
            scene.checkUnbroken(traffic);
            checkWrongful(traffic);
        }
    }

    private static void freeze(Scene scene) throws FleetException, CaseFailure {
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            Member leader = scene.leader();
            leader.process().freeze();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            long revision = scene.createPool("frozen");
            leader.process().thaw();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkRevision(revision);
            scene.checkUnbroken(traffic);
        }
    }

    private static void partition(Scene scene) throws FleetException, CaseFailure {
        try (Traffic traffic = scene.traffic()) {
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            Member leader = scene.leader();
            scene.fleet().isolate(leader.process().name(), "");
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            long revision = scene.createPool("partitioned");
            CaseFailure.unless(!scene.leader().equals(leader), "the partitioned leader still answers as the leader");
            scene.fleet().heal();
            scene.awaitFinished(traffic, SOME_PROGRAMS, SOME_TIME_MILLIS);
            scene.checkRevision(revision);
            scene.checkUnbroken(traffic);
        }
    }

    private static void empty(Scene scene) throws FleetException, CaseFailure {
        long revision = scene.createPool("before");
        Set<String> before = scene.voters();
        Member follower = scene.follower();
        follower.process().kill();
        scene.fleet().emptyDisk(follower.process().name());
        follower.process().start();
        for (int number = 0; number < SOME_PROGRAMS; number++) {
            revision = scene.createPool("emptied-" + number);
        }
        scene.checkRevision(revision);
        checkVoters(scene, before);
        CaseFailure.unless(follower.process().isAlive(), "the emptied replica ended");
        CaseFailure.unless(!scene.leader().equals(follower), "the emptied replica leads");
    }

    private static void loseMajority(Scene scene) throws FleetException, CaseFailure {
        List<Member> lost = new ArrayList<>(scene.fleet().named("control-")).subList(1, 3);
        for (Member member : lost) {
            member.process().kill();
        }
        Turn turn = Turn.first("lost-" + scene.random().nextInt(1_000_000), "Hello.", 1);
        long[] reached = new long[1];
        boolean refused = Polling.await(Scene.IN_FORCE_MILLIS, () -> {
            reached[0]++;
            Answer answer = scene.caller(1)
                    .chat(Turn.first(turn.program() + "-" + reached[0], turn.content(), 1)
                            .last());
            return answer.reason().equals("configuration_lease_expired") && answer.notRun();
        });
        CaseFailure.unless(refused, "keyed routes are not refused within %d ms", Scene.IN_FORCE_MILLIS);
        for (Member member : lost) {
            scene.restart(member, READY_MILLIS);
        }
        boolean back = Polling.await(
                READY_MILLIS, () -> scene.caller(1).chat(turn.last()).isDone());
        CaseFailure.unless(back, "requests are still refused %d ms after the majority is back", READY_MILLIS);
    }

    /**
     * Fails the case unless the emptied replica gives up its old id and votes under a new one. Between the removal of
     * the old id and the promotion of the new one the others alone vote; there is never an additional voter.
     */
    private static void checkVoters(Scene scene, Set<String> before) throws FleetException, CaseFailure {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        Set<String> voters = scene.voters();
        while (voters.size() != before.size() || before.equals(voters)) {
            CaseFailure.unless(
                    voters.size() <= before.size() && voters.size() >= before.size() - 1,
                    "the voters were %s and are %s",
                    before,
                    voters);
            CaseFailure.unless(
                    System.nanoTime() - deadlineNanos < 0,
                    "%d replicas vote instead of %d after %d ms: %s",
                    voters.size(),
                    before.size(),
                    READY_MILLIS,
                    voters);
            Polling.await(POLL_MILLIS, () -> false);
            voters = scene.voters();
        }
        Set<String> kept = new HashSet<>(voters);
        kept.retainAll(before);
        CaseFailure.unless(kept.size() == before.size() - 1, "the voters were %s and are %s", before, voters);
    }

    private static void checkWrongful(Traffic traffic) throws CaseFailure {
        int wrongful = traffic.refusals().getOrDefault("rate_grant_unavailable", 0);
        int requests = traffic.finished() * STEPS;
        CaseFailure.unless(
                wrongful * REQUESTS_A_WRONGFUL_REFUSAL <= requests,
                "%d wrongful refusals of about %d requests",
                wrongful,
                requests);
    }
}
