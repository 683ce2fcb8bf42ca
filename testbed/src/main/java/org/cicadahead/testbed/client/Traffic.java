package org.cicadahead.testbed.client;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Callers that run one program after another in the background until they are stopped. Safe for use by threads. */
public final class Traffic implements AutoCloseable {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final List<Caller> callers;
    private final String prefix;
    private final int steps;
    private final int maxTokens;
    private final long stepTimeoutMillis;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger programs = new AtomicInteger();
    private final AtomicInteger finished = new AtomicInteger();
    private final List<String> faults = new ArrayList<>();
    private final Map<String, Integer> refusals = new ConcurrentHashMap<>();
    private final Histogram latencyMillis = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    private final List<Thread> threads = new ArrayList<>();
    private final CountDownLatch ended;

    private Traffic(List<Caller> callers, String prefix, int threadCount, int steps, int maxTokens, long timeout) {
        this.callers = callers;
        this.prefix = prefix;
        this.steps = steps;
        this.maxTokens = maxTokens;
        this.stepTimeoutMillis = timeout;
        this.ended = new CountDownLatch(threadCount);
    }

    /**
     * Starts the callers.
     *
     * @param callers one caller an entry
     * @param prefix the beginning of the names of the programs
     * @param threadCount how many programs run at once
     * @param steps steps of a program
     * @param maxTokens tokens of an answer
     * @param stepTimeoutMillis how long a step is resent, in milliseconds
     * @return the running traffic
     */
    public static Traffic start(
            List<Caller> callers, String prefix, int threadCount, int steps, int maxTokens, long stepTimeoutMillis) {
        Traffic traffic = new Traffic(callers, prefix, threadCount, steps, maxTokens, stepTimeoutMillis);
        for (int number = 0; number < threadCount; number++) {
            int first = number;
            Thread thread = new Thread(() -> traffic.run(first), "traffic-" + number);
            thread.setDaemon(true);
            traffic.threads.add(thread);
            thread.start();
        }
        return traffic;
    }

    /**
     * Returns how many programs have finished.
     *
     * @return the number
     */
    public int finished() {
        return finished.get();
    }

    /**
     * Lets the running programs finish and starts no new ones.
     *
     * @param timeoutMillis how long to wait for them, in milliseconds
     * @return true if all have finished
     */
    public boolean stop(long timeoutMillis) {
        stopping.set(true);
        try {
            return ended.await(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Returns what went wrong with programs.
     *
     * @return a sentence for each program
     */
    public List<String> faults() {
        synchronized (faults) {
            return List.copyOf(faults);
        }
    }

    /**
     * Returns how often steps were refused and resent.
     *
     * @return the numbers by reason
     */
    public Map<String, Integer> refusals() {
        return new TreeMap<>(refusals);
    }

    /**
     * Returns the latencies of the finished programs.
     *
     * @return the latencies in milliseconds
     */
    public Histogram latencyMillis() {
        return latencyMillis.copy();
    }

    /** Interrupts what still runs. */
    @Override
    public void close() {
        stopping.set(true);
        threads.forEach(Thread::interrupt);
    }

    private void run(int first) {
        try {
            while (!stopping.get()) {
                runProgram(first);
            }
        } finally {
            ended.countDown();
        }
    }

    private void runProgram(int first) {
        ProgramRun run = new ProgramRun(callers, first, stepTimeoutMillis);
        boolean done = run.run(prefix + "-" + programs.incrementAndGet(), steps, maxTokens);
        run.refusals().forEach((reason, count) -> refusals.merge(reason, count, Integer::sum));
        if (done) {
            finished.incrementAndGet();
            latencyMillis.recordValue(TimeUnit.NANOSECONDS.toMillis(run.totalNanos()));
        } else {
            synchronized (faults) {
                faults.add(run.fault());
            }
        }
    }
}
