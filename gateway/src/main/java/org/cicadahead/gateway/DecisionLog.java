package org.cicadahead.gateway;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
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
    private final PrintStream out;

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
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
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
                for (String next = lines.poll(); next != null; next = lines.poll()) {
                    batch.append(next).append('\n');
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
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
