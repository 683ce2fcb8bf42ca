package org.cicadahead.gateway;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on the memory that the responses of all running requests occupy together. Thread-safe.
 *
 * <p>Each response has its own limit as well, but endpoints that send bytes without end do so on many connections at
 * once. The first response that does not fit is ended, so that the others keep their memory.
 */
final class ResponseMemory {
    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    ResponseMemory(long maxBytes) {
        if (maxBytes <= 0) {
            throw new IllegalArgumentException("The limit must be positive: " + maxBytes);
        }
        this.maxBytes = maxBytes;
    }

    /** Returns the memory of one response, which holds nothing yet. */
    Holding newHolding() {
        return new Holding();
    }

    long usedBytes() {
        return usedBytes.get();
    }

    /** The memory of one response. Guarded by the lock of its request. */
    final class Holding {
        private long bytes;

        private Holding() {}

        /** Sets the number of bytes that the response holds; returns false if they exceed the common limit. */
        boolean resize(long next) {
            long used = usedBytes.addAndGet(next - bytes);
            bytes = next;
            return used <= maxBytes;
        }

        /** Returns all memory of the response. */
        void release() {
            resize(0);
        }
    }
}
