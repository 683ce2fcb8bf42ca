package org.cicadahead.testbed.soak;

import java.util.List;
import org.cicadahead.testbed.fleet.FleetException;

/** What befalls processes of one group from outside, and how they come back. */
enum ProcessFault {
    /** SIGKILL; the files stay. */
    KILL("kill") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            killAndRestart(members, downMillis, judge);
        }
    },
    /** SIGTERM, then a start. */
    STOP("stop") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            stopAndRestart(members, downMillis, judge, SoakFleet.Member::terminate);
        }
    },
    /** SIGTERM, then the same and SIGHUP again while the process stops, then a start. */
    STOP_REPEATEDLY("stop repeatedly") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            stopAndRestart(members, downMillis, judge, member -> {
                member.terminate();
                Thread.sleep(downMillis / 4);
                hangUpAndTerminate(member);
            });
        }
    },
    /** SIGTERM to all processes of the group at the same moment, then starts. */
    STOP_ALL("stop all beside") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            for (SoakFleet.Member member : members) {
                member.terminate();
            }
            stopAndRestart(members, downMillis, judge, member -> {});
        }
    },
    /** SIGTERM, then a start that is stopped while the process starts, then a start. */
    STOP_STARTING("stop at its start") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            stopAndRestart(members, downMillis, judge, SoakFleet.Member::terminate);
            Thread.sleep(downMillis / 2);
            stopAndRestart(members, downMillis, judge, SoakFleet.Member::terminate);
        }
    },
    /** SIGTERM, then SIGKILL before the process has stopped by itself. */
    STOP_AND_KILL("stop and kill") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            for (SoakFleet.Member member : members) {
                member.terminate();
            }
            Thread.sleep(downMillis);
            killAndRestart(members, downMillis, judge);
        }
    },
    /** SIGTERM while the process is frozen, which it receives when it wakes. */
    STOP_FROZEN("stop while frozen") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            stopAndRestart(members, downMillis, judge, member -> {
                member.freeze();
                member.terminate();
                Thread.sleep(downMillis);
                member.thaw();
            });
        }
    },
    /** SIGSTOP, then SIGCONT: the process does not know that time has passed. */
    FREEZE("freeze") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            for (SoakFleet.Member member : members) {
                member.freeze();
            }
            Thread.sleep(downMillis);
            for (SoakFleet.Member member : members) {
                member.thaw();
            }
        }
    },
    /** All processes of the group are killed at the same moment; their files stay. */
    KILL_ALL("kill all beside") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            killAndRestart(members, downMillis, judge);
        }
    },
    /** SIGKILL, and the process comes back with an empty data folder. */
    LOSE_DISK("take the disk of") {
        @Override
        void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
                throws FleetException, InterruptedException {
            for (SoakFleet.Member member : members) {
                member.kill();
                awaitExit(member, judge);
                member.loseDisk();
            }
            restart(members, downMillis);
            // The group bears one lost member at a time, and this one counts as lost until it has caught up.
            Thread.sleep(CATCH_UP_MILLIS);
        }
    };

    /** The faults of processes that keep nothing. */
    static final List<ProcessFault> WITHOUT_DISK =
            List.of(KILL, STOP, STOP_REPEATEDLY, STOP_ALL, STOP_STARTING, STOP_AND_KILL, STOP_FROZEN, FREEZE, KILL_ALL);

    /** The faults after which a process has answered every request that it had passed on. */
    static final List<ProcessFault> PLANNED = List.of(STOP, STOP_REPEATEDLY, STOP_ALL, STOP_STARTING);

    /** After this time a member that came back empty counts no more as lost, in milliseconds; from the platform. */
    private static final long CATCH_UP_MILLIS = 4_600;
    /** The time from SIGTERM to the end of a process, in milliseconds: the grace and a second. */
    private static final long STOP_MILLIS = 9_000;

    private final String title;

    ProcessFault(String title) {
        this.title = title;
    }

    /** Strikes members of one group, and ends when they run again. */
    abstract void strike(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
            throws FleetException, InterruptedException;

    /** Returns whether the fault strikes all members of a group. */
    boolean strikesAll() {
        return this == KILL_ALL || this == STOP_ALL;
    }

    String title() {
        return title;
    }

    /** Tells one process to stop. */
    private interface StopSignals {
        void send(SoakFleet.Member member) throws FleetException, InterruptedException;
    }

    private static void stopAndRestart(
            List<SoakFleet.Member> members, long downMillis, SoakJudge judge, StopSignals signals)
            throws FleetException, InterruptedException {
        for (SoakFleet.Member member : members) {
            signals.send(member);
            awaitExit(member, judge);
            member.checkPlannedExit();
        }
        restart(members, downMillis);
    }

    /** Sends further signals to a process that is stopping and may end at any moment. */
    private static void hangUpAndTerminate(SoakFleet.Member member) {
        try {
            member.writeSettings(false);
            member.process.hangUp();
            member.process.terminate();
        } catch (FleetException e) {
            // The process has stopped in the meantime.
        }
    }

    private static void killAndRestart(List<SoakFleet.Member> members, long downMillis, SoakJudge judge)
            throws FleetException, InterruptedException {
        for (SoakFleet.Member member : members) {
            member.kill();
        }
        for (SoakFleet.Member member : members) {
            awaitExit(member, judge);
        }
        restart(members, downMillis);
    }

    private static void restart(List<SoakFleet.Member> members, long downMillis)
            throws FleetException, InterruptedException {
        Thread.sleep(downMillis);
        for (SoakFleet.Member member : members) {
            member.start(false);
        }
    }

    private static void awaitExit(SoakFleet.Member member, SoakJudge judge)
            throws FleetException, InterruptedException {
        if (!member.process.awaitExit(STOP_MILLIS)) {
            judge.violation(member.process.name() + " does not stop within its grace");
            member.kill();
            member.process.awaitExit(STOP_MILLIS);
        }
    }
}
