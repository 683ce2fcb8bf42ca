package org.cicadahead.testbed.prove;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.fleet.Member;

/** Restarts processes that end, as the service manager of a VM does. */
final class Supervisor implements AutoCloseable {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final List<Member> members;
    private final Thread thread = new Thread(this::run, "supervisor");
    private volatile boolean stopped;
    private volatile int restarts;

    private Supervisor(List<Member> members) {
        this.members = members;
    }

    static Supervisor start(List<Member> members) {
        Supervisor supervisor = new Supervisor(members);
        supervisor.thread.setDaemon(true);
        supervisor.thread.start();
        return supervisor;
    }

    /** Returns how many restarts there were. */
    int restarts() {
        return restarts;
    }

    @Override
    public void close() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!stopped) {
            for (Member member : members) {
                if (!member.process().isAlive()) {
                    restart(member);
                }
            }
            LockSupport.parkNanos(INTERVAL_NANOS);
        }
    }

    private void restart(Member member) {
        try {
            member.process().start();
            restarts = restarts + 1;
        } catch (FleetException e) {
            System.getLogger("cicadahead.testbed").log(System.Logger.Level.WARNING, "cannot restart", e);
        }
    }
}
