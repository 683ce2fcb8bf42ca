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

    private final List<SoakFleet.Member> members;
    private final List<ProcessFault> kinds;
    private final List<SoakEndpoint> endpoints;
    private final SoakJudge judge;
    private final Random random;
    private final BooleanSupplier running;

    SoakFaults(
            List<SoakFleet.Member> members,
            List<ProcessFault> kinds,
            List<SoakEndpoint> endpoints,
            SoakJudge judge,
            Random random,
            BooleanSupplier running) {
        this.members = members;
        this.kinds = kinds;
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
                    disturb(endpoints.get(random.nextInt(endpoints.size())));
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
        ProcessFault kind = kinds.get(random.nextInt(kinds.size()));
        int down = between(DOWN_MIN_MILLIS, DOWN_MAX_MILLIS);
        System.out.printf("soak: %s %s for %d ms%n", kind.title(), member.process.name(), down);
        kind.strike(kind.strikesAll() ? members : List.of(member), down, judge);
    }

    private void disturb(SoakEndpoint endpoint) throws InterruptedException {
        int down = between(DOWN_MIN_MILLIS, DOWN_MAX_MILLIS);
        int kind = random.nextInt(3);
        FaultyLink link = endpoint.link();
        System.out.printf(
                "soak: %s a link for %d ms%n",
                List.of("cut", "cut answers of", "delay").get(kind), down);
        endpoint.outages().began(SoakJudge.now());
        switch (kind) {
            case 0 -> link.cut();
            case 1 -> link.cut(FaultyLink.Direction.values()[random.nextInt(FaultyLink.Direction.values().length)]);
            default -> link.delay(DELAY_MILLIS);
        }
        Thread.sleep(down);
        link.heal();
        link.delay(0);
        endpoint.outages().ended(SoakJudge.now());
    }

    private int between(int min, int max) {
        return min + random.nextInt(max - min);
    }
}
