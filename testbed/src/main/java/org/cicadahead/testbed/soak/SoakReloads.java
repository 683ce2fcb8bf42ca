package org.cicadahead.testbed.soak;

import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cicadahead.testbed.fleet.FleetException;

/**
 * Rewrites the settings of processes and tells them so, in short series, whatever else befalls them at the moment: they
 * may be starting, stopping or frozen.
 */
final class SoakReloads implements Runnable {
    private static final int PAUSE_MILLIS = 900;
    private static final int SERIES = 4;
    private static final int GAP_MILLIS = 40;

    private final List<SoakFleet.Member> members;
    private final Random random;
    private final BooleanSupplier running;

    SoakReloads(List<SoakFleet.Member> members, Random random, BooleanSupplier running) {
        this.members = members;
        this.random = random;
        this.running = running;
    }

    @Override
    public void run() {
        try {
            while (running.getAsBoolean()) {
                Thread.sleep(random.nextInt(PAUSE_MILLIS));
                SoakFleet.Member member = members.get(random.nextInt(members.size()));
                for (int i = random.nextInt(SERIES); i >= 0; i--) {
                    reload(member);
                    Thread.sleep(random.nextInt(GAP_MILLIS));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void reload(SoakFleet.Member member) {
        try {
            member.reload();
        } catch (FleetException e) {
            // The process does not run at the moment, so there is nothing to tell it.
        }
    }
}
