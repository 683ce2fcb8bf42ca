package org.cicadahead.testbed.soak;

import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cicadahead.testbed.fleet.FaultyLink;
import org.cicadahead.testbed.fleet.FleetException;

/**
 * Faults of one group of processes or links, one after another, drawn from a seed. The groups have a thread each, so
 * that their faults overlap; within a group one member is disturbed at a time, as the deployment bears one lost VM.
 */
final class SoakFaults implements Runnable {
    private static final int PAUSE_MIN_MILLIS = 600;
    private static final int PAUSE_MAX_MILLIS = 3_000;
    private static final int DOWN_MIN_MILLIS = 100;
    private static final int DOWN_MAX_MILLIS = 2_500;
    private static final long DELAY_MILLIS = 150;
    private static final long STOP_MILLIS = 9_000;

    private final List<SoakFleet.Member> members;
    private final List<SoakEndpoint> endpoints;
    private final SoakJudge judge;
    private final Random random;
    private final BooleanSupplier running;

    SoakFaults(
            List<SoakFleet.Member> members,
            List<SoakEndpoint> endpoints,
            SoakJudge judge,
            Random random,
            BooleanSupplier running) {
        this.members = members;
        this.endpoints = endpoints;
        this.judge = judge;
        this.random = random;
        this.running = running;
    }

    @Override
    public void run() {
        try {
            while (running.getAsBoolean()) {
                Thread.sleep(between(PAUSE_MIN_MILLIS, PAUSE_MAX_MILLIS));
                if (members.isEmpty()) {
                    disturb(endpoints.get(random.nextInt(endpoints.size())).link());
                } else {
                    disturb(members.get(random.nextInt(members.size())));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (FleetException e) {
            judge.violation("a process could not be disturbed: " + e.getMessage());
        }
    }

    private void disturb(SoakFleet.Member member) throws FleetException, InterruptedException {
        int kind = random.nextInt(3);
        int down = between(DOWN_MIN_MILLIS, DOWN_MAX_MILLIS);
        System.out.printf(
                "soak: %s %s for %d ms%n", List.of("kill", "freeze", "stop").get(kind), member.process.name(), down);
        if (kind == 1) {
            member.process.freeze();
            Thread.sleep(down);
            member.process.thaw();
            return;
        }
        if (kind == 0) {
            member.process.kill();
        } else {
            member.process.terminate();
        }
        if (!member.process.awaitExit(STOP_MILLIS)) {
            judge.violation(member.process.name() + " does not stop within its grace");
            member.process.kill();
            member.process.awaitExit(STOP_MILLIS);
        }
        Thread.sleep(down);
        member.start(false);
    }

    private void disturb(FaultyLink link) throws InterruptedException {
        int down = between(DOWN_MIN_MILLIS, DOWN_MAX_MILLIS);
        int kind = random.nextInt(3);
        System.out.printf(
                "soak: %s a link for %d ms%n",
                List.of("cut", "cut answers of", "delay").get(kind), down);
        switch (kind) {
            case 0 -> link.cut();
            case 1 -> link.cut(FaultyLink.Direction.values()[random.nextInt(FaultyLink.Direction.values().length)]);
            default -> link.delay(DELAY_MILLIS);
        }
        Thread.sleep(down);
        link.heal();
        link.delay(0);
    }

    private int between(int min, int max) {
        return min + random.nextInt(max - min);
    }
}
