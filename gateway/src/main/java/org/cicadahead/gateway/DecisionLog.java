package org.cicadahead.gateway;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadahead.node.DaemonThreads;

/**
 * Writes one line for each decision. Safe for use by several threads.
 *
 * <p>A line that finds the queue full is dropped and counted, so that a reader of the output that does not read delays
 * no request. The first use is {@link #to(PrintStream)}.
 */
public final class DecisionLog {
    /** The lines that may wait; about two seconds of an entry at its peak. */
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
     * @param out takes the lines
     * @return the log
     */
    public static DecisionLog to(PrintStream out) {
        DecisionLog log = new DecisionLog(out);
        DaemonThreads.named("decision-log").newThread(log::write).start();
        return log;
    }

    /**
     * Writes a line, or drops it if too many wait.
     *
     * @param line the line without its end
     */
    public void line(String line) {
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Returns how many lines were dropped.
     *
     * @return the number
     */
    public long dropped() {
        return dropped.get();
    }

    private void write() {
        StringBuilder batch = new StringBuilder();
        long told = 0;
        try {
            while (true) {
                batch.append(lines.take()).append('\n');
                for (String next = lines.poll(); next != null; next = lines.poll()) {
                    batch.append(next).append('\n');
                }
                long now = dropped.get();
                if (now > told) {
                    batch.append("{\"event\":\"lines_dropped\",\"count\":")
                            .append(now - told)
                            .append("}\n");
                    told = now;
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
