package org.cicadahead.testbed.capacity;

import java.lang.management.ManagementFactory;
import java.util.concurrent.Callable;

/** Measures the heap that an object holds. */
final class Heap {
    private static final int COLLECTIONS = 3;

    private Heap() {}

    /** Returns how many bytes of heap the object that a function makes keeps alive. */
    static double heldBy(Callable<Object> maker) throws Exception {
        long before = used();
        Object held = maker.call();
        long after = used();
        if (held == null) {
            throw new IllegalStateException("nothing was made");
        }
        return Math.max(0, after - before);
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
