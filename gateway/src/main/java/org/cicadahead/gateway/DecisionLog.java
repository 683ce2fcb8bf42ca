package org.cicadahead.gateway;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadahead.node.DaemonThreads;

/**
 * Writes one line per request to an output stream, in the background. Thread-safe.
 *
 * <p>If the queue is full, a line is dropped and counted, so that a stalled reader of the output does not delay
 * requests. Create one with {@link #to(PrintStream)}.
 */
public final class DecisionLog {
    /** The queue capacity, in lines; an entry at peak load writes as many in about two seconds. */
    static final int MAX_LINES = 2_000;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong queued = new AtomicLong();
    private final PrintStream out;
    /** The number of lines that have been written; guarded by this log. */
    private long written;

    private DecisionLog(PrintStream out) {
        this.out = out;
    }

    /**
     * Returns a log with its own writer thread.
     *
     * @param out the stream to write to
     * @return the log
     */
    public static DecisionLog to(PrintStream out) {
        DecisionLog log = new DecisionLog(out);
        DaemonThreads.named("decision-log").newThread(log::write).start();
        return log;
    }

    /**
     * Queues a line, or drops it if the queue is full.
     *
     * @param line the line without a line terminator
     */
    public void line(String line) {
        if (lines.offer(line)) {
            queued.incrementAndGet();
        } else {
            dropped.incrementAndGet();
        }
    }

    /**
     * Waits until the lines queued so far have been written, for the end of the process.
     *
     * @param timeoutMillis how long to wait at most, in milliseconds
     */
    public synchronized void awaitWritten(long timeoutMillis) {
        long target = queued.get();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            for (long left = timeoutMillis; written < target && left > 0; ) {
                wait(left);
                left = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void addWritten(int count) {
        written += count;
        notifyAll();
    }

    /**
     * Returns the number of dropped lines.
     *
     * @return the number of lines
     */
    public long dropped() {
        return dropped.get();
    }

    private void write() {
        StringBuilder batch = new StringBuilder();
        long reportedDrops = 0;
        try {
            while (true) {
                batch.append(lines.take()).append('\n');
                int count = 1;
                for (String next = lines.poll(); next != null; next = lines.poll()) {
                    batch.append(next).append('\n');
                    count++;
                }
                long dropCount = dropped.get();
                if (dropCount > reportedDrops) {
                    batch.append("{\"event\":\"lines_dropped\",\"count\":")
                            .append(dropCount - reportedDrops)
                            .append("}\n");
                    reportedDrops = dropCount;
                }
                byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
                out.write(bytes, 0, bytes.length);
                out.flush();
                batch.setLength(0);
                addWritten(count);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
