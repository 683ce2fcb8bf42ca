package org.cicadahead.testbed.soak;

import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cicadahead.platform.WireNames;

/** Sends a request that crashes the endpoints that run it, again and again, through any entry. */
final class SoakCrasher implements Runnable {
    private static final int PAUSE_MIN_MILLIS = 700;
    private static final int PAUSE_MAX_MILLIS = 1_300;
    /** One of this number of attempts is given up before most endpoints have crashed. */
    private static final int IMPATIENT_CHANCE = 5;

    private static final String IMPATIENT_MILLIS = "250";

    private final String path;
    private final SoakClient client;
    private final Random random;
    private final BooleanSupplier running;

    /**
     * Creates the sender.
     *
     * @param route the name of the route
     */
    SoakCrasher(String route, SoakClient client, Random random, BooleanSupplier running) {
        this.path = "/" + route + SoakAnswers.CRASH + route;
        this.client = client;
        this.random = random;
        this.running = running;
    }

    @Override
    public void run() {
        try {
            for (int i = 0; running.getAsBoolean(); i++) {
                String attempt = path.substring(1).replace('/', '-') + "-" + i;
                Map<String, String> headers = SoakClient.headers("crash", attempt);
                if (random.nextInt(IMPATIENT_CHANCE) == 0) {
                    headers.put(WireNames.TIME_LEFT, IMPATIENT_MILLIS);
                }
                client.call(client.fleet().anyEntry(random), path, headers, "crash");
                Thread.sleep(random.nextInt(PAUSE_MIN_MILLIS, PAUSE_MAX_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
