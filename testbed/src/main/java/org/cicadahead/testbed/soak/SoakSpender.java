package org.cicadahead.testbed.soak;

import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cicadahead.platform.WireNames;

/** Sends turns of programs with small budgets, several callers at a time in the same program, until long after. */
final class SoakSpender implements Runnable {
    private static final int BUDGET = 7;
    private static final int MOST_OF_TURN = 2;
    private static final int PAUSE_MILLIS = 200;
    /** The time after which all callers go on with the next program, in milliseconds. */
    private static final long PROGRAM_MILLIS = 3_000;

    private final int number;
    private final SoakClient client;
    private final Random random;
    private final BooleanSupplier running;

    SoakSpender(int number, SoakClient client, Random random, BooleanSupplier running) {
        this.number = number;
        this.client = client;
        this.random = random;
        this.running = running;
    }

    @Override
    public void run() {
        try {
            for (int i = 0; running.getAsBoolean(); i++) {
                turn("s" + SoakJudge.now() / PROGRAM_MILLIS, "s" + number + "t" + i);
                Thread.sleep(random.nextInt(PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void turn(String program, String attempt) {
        SoakJudge judge = client.judge();
        judge.askedOnce(attempt);
        Map<String, String> headers = SoakClient.headers(program, attempt);
        headers.put(WireNames.BUDGET, Integer.toString(BUDGET));
        headers.put(WireNames.TOKENS, "10," + MOST_OF_TURN);
        SoakHttp.Answer answer = client.call(client.fleet().anyEntry(random), "/turns/x", headers, "turn");
        if (answer.begun() == SoakClient.OK) {
            judge.receivedTokens(program, attempt, answer.body().split("\n\n", -1).length - 1, BUDGET, MOST_OF_TURN);
        } else if (answer.status() == SoakClient.PAYMENT_REQUIRED) {
            judge.notRun(attempt);
        } else {
            client.check(attempt, "", answer);
        }
    }
}
