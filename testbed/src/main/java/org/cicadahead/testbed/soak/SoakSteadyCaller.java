package org.cicadahead.testbed.soak;

import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * A caller that stays at one entry and uses its open connections, also while the entry stops, until the process is
 * gone. Its requests may run once.
 */
final class SoakSteadyCaller implements Runnable {
    private static final int PAUSE_MILLIS = 300;

    private final int number;
    private final SoakClient client;
    private final Random random;
    private final BooleanSupplier running;

    SoakSteadyCaller(int number, SoakClient client, Random random, BooleanSupplier running) {
        this.number = number;
        this.client = client;
        this.random = random;
        this.running = running;
    }

    @Override
    public void run() {
        SoakFleet.Member entry = client.fleet().anyEntry(random);
        try {
            for (int i = 0; running.getAsBoolean(); i++) {
                String attempt = "k" + number + "x" + i;
                client.judge().askedOnce(attempt);
                SoakHttp.Answer answer =
                        client.call(entry, "/once/x", SoakClient.headers("k" + number, attempt), "once");
                client.check(attempt, "", answer);
                if (answer.begun() == 0) {
                    entry = client.fleet().anyEntry(random);
                }
                Thread.sleep(random.nextInt(PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
