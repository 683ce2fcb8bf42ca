package org.cicadahead.testbed.fleet;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits until a condition on other processes holds. */
public final class Polling {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private Polling() {}

    /**
     * Waits until a condition holds.
     *
     * @param timeoutMillis how long to wait at most, in milliseconds
     * @param condition the condition, which is checked every 25 ms
     * @return true if the condition holds, false if the time is up
     */
    public static boolean await(long timeoutMillis, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                return false;
            }
            LockSupport.parkNanos(INTERVAL_NANOS);
        }
        return true;
    }
}
