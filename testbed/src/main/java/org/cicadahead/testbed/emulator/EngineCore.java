package org.cicadahead.testbed.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Continuous batching with a prefix cache, on one thread. Safe for use by several threads; the lock of this object is a
 * leaf, and readers are woken without it.
 */
final class EngineCore {
    private static final long IDLE_WAIT_MILLIS = 20;
    private static final int GAP_PERCENT = 2;
    private static final int MAX_EVENTS = 10_000;

    private final EngineOptions options;
    private final FaultSwitches<EngineFault> faults;
    private final Runnable crash;
    private final Random random;
    private final String instance;
    private final PrefixCache cache;
    private final Map<String, EngineStream> streams = new HashMap<>();
    private final Deque<EngineStream> waiting = new ArrayDeque<>();
    private final List<EngineStream> running = new ArrayList<>();
    private final Deque<CacheEvent> events = new ArrayDeque<>();
    private final EngineTotals totals;
    private final Thread thread;
    private long nextEvent;
    private Load published = new Load(0, 0, 0);
    private long publishedNanos = System.nanoTime() - TimeUnit.MINUTES.toNanos(1);
    private boolean stopped;

    /** How busy the engine is. */
    record Load(int running, int waiting, long cachedTokens) {}

    /** A change of the cache, seen by readers from a later time on. */
    record CacheEvent(long sequence, String kind, String owner, long visibleNanos) {}

    EngineCore(
            EngineOptions options, FaultSwitches<EngineFault> faults, EngineTotals totals, int start, Runnable crash) {
        this.options = options;
        this.faults = faults;
        this.totals = totals;
        this.crash = crash;
        this.random = new Random(options.seed() * 1_000_003 + start);
        this.instance = Long.toHexString(System.nanoTime()) + "-" + start;
        this.cache = new PrefixCache(options.cacheCapacityTokens());
        this.thread = new Thread(this::run, "engine-emulator");
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    String instance() {
        return instance;
    }

    /** Queues a request; returns false if a stream with its run id exists. */
    synchronized boolean submit(EngineStream stream) {
        if (stopped || streams.putIfAbsent(stream.run, stream) != null) {
            return false;
        }
        waiting.add(stream);
        totals.received++;
        notifyAll();
        return true;
    }

    synchronized Optional<EngineStream> stream(String run) {
        return Optional.ofNullable(streams.get(run));
    }

    /** Returns the event at an offset, or null if it is not there yet. */
    synchronized byte[] event(EngineStream stream, int offset) {
        return offset < stream.events.size() ? stream.events.get(offset) : null;
    }

    synchronized boolean ended(EngineStream stream) {
        return stopped || stream.ended();
    }

    boolean cancel(String run) {
        EngineStream stream;
        synchronized (this) {
            stream = streams.get(run);
            if (stream == null || stream.ended()) {
                return false;
            }
            end(stream, EngineStream.State.CANCELLED);
            totals.cancelled++;
        }
        stream.readers.forEach(EngineStream.Reader::wake);
        return true;
    }

    synchronized void readerGone(EngineStream stream, EngineStream.Reader reader) {
        stream.readers.remove(reader);
        stream.unreadSinceNanos = System.nanoTime();
    }

    /** Returns the load as it was up to the report lag ago. */
    synchronized Load load() {
        long now = System.nanoTime();
        if (now - publishedNanos >= TimeUnit.MILLISECONDS.toNanos(options.reportLagMillis())) {
            published = new Load(running.size(), waiting.size(), cache.tokens());
            publishedNanos = now;
        }
        return published;
    }

    synchronized Load exactLoad() {
        return new Load(running.size(), waiting.size(), cache.tokens());
    }

    synchronized Map<String, Long> owners() {
        return cache.owners();
    }

    synchronized void release(String owner) {
        cache.release(owner);
        publish("released", owner);
    }

    synchronized long exportOwner(String owner) {
        long tokens = cache.exportOwner(owner);
        publish("exported", owner);
        return tokens;
    }

    synchronized long importOwner(String owner) {
        long tokens = cache.importOwner(owner);
        publish("imported", owner);
        return tokens;
    }

    synchronized List<CacheEvent> eventsAfter(long sequence) {
        long now = System.nanoTime();
        return events.stream()
                .filter(event -> event.sequence() > sequence && event.visibleNanos() <= now)
                .toList();
    }

    synchronized long evictedTokens() {
        return cache.evictedTokens();
    }

    /** Ends all streams without an answer. */
    void stop() {
        List<EngineStream> left;
        synchronized (this) {
            stopped = true;
            left = List.copyOf(streams.values());
            notifyAll();
        }
        left.forEach(stream -> stream.readers.forEach(EngineStream.Reader::abort));
    }

    private void run() {
        try {
            while (step()) {
                // Each step is one iteration of the batch.
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs one iteration of the batch; returns false once stopped. */
    private boolean step() throws InterruptedException {
        long micros;
        boolean poisonous;
        synchronized (this) {
            if (stopped) {
                return false;
            }
            dropOrphans();
            poisonous = admit();
            if (!poisonous && (running.isEmpty() || faults.isOn(EngineFault.HANG))) {
                wait(IDLE_WAIT_MILLIS);
                return true;
            }
            micros = poisonous ? 0 : prefill();
        }
        if (poisonous) {
            crash.run();
            return false;
        }
        sleepMicros(micros);
        List<EngineStream> woken;
        boolean dies = false;
        synchronized (this) {
            woken = produce();
            for (EngineStream stream : woken) {
                dies |= faults.takeAt(EngineFault.DIE_AFTER_EVENTS, stream.events.size());
            }
        }
        if (dies) {
            crash.run();
            return false;
        }
        woken.forEach(stream -> stream.readers.forEach(EngineStream.Reader::wake));
        return true;
    }

    /** Moves waiting requests into the batch; returns whether one of them crashes the engine. */
    private boolean admit() {
        while (running.size() < options.maxBatch() && !waiting.isEmpty()) {
            EngineStream stream = waiting.poll();
            stream.state = EngineStream.State.RUNNING;
            stream.promptTokens = Math.max(1, stream.prompt.length() / PrefixCache.CHARS_PER_TOKEN);
            stream.cachedTokens = cache.lookup(PrefixCache.hashes(stream.prompt));
            stream.prefillLeft = stream.promptTokens - stream.cachedTokens;
            running.add(stream);
            totals.promptTokens += stream.promptTokens;
            totals.cachedTokens += stream.cachedTokens;
            if (faults.text(EngineFault.CRASH_MARKER)
                    .filter(stream.prompt::contains)
                    .isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** Processes prompts for one step; returns the length of the step in microseconds. */
    private long prefill() {
        long budget = options.prefillChunkTokens();
        long context = 0;
        for (EngineStream stream : running) {
            long part = Math.min(budget, stream.prefillLeft);
            stream.prefillLeft -= part;
            budget -= part;
            context += stream.contextTokens();
        }
        long prefilled = options.prefillChunkTokens() - budget;
        return options.baseStepMicros()
                + running.size() * options.stepMicrosPerRequest()
                + context * options.stepMicrosPerKiloToken() / 1_000
                + prefilled * 1_000_000 / options.prefillTokensPerSecond();
    }

    private List<EngineStream> produce() {
        List<EngineStream> woken = new ArrayList<>();
        for (EngineStream stream : List.copyOf(running)) {
            if (stream.prefillLeft == 0 && !stream.ended()) {
                stream.produce();
                totals.completionTokens++;
                woken.add(stream);
                if (stream.ended()) {
                    end(stream, EngineStream.State.DONE);
                    totals.completed++;
                }
            }
        }
        return woken;
    }

    private void end(EngineStream stream, EngineStream.State state) {
        stream.state = state;
        stream.unreadSinceNanos = System.nanoTime();
        waiting.remove(stream);
        if (running.remove(stream) && stream.owner != null && stream.prefillLeft == 0) {
            String answer = EngineAnswers.content(stream.lastMessage, stream.tokens);
            cache.put(stream.owner, PrefixCache.hashes(stream.prompt + EngineAnswers.turn("assistant", answer)));
            publish("stored", stream.owner);
        }
    }

    /** Cancels streams that nobody reads, and forgets ended ones. */
    private void dropOrphans() {
        long limit = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(options.orphanMillis());
        for (EngineStream stream : List.copyOf(streams.values())) {
            if (stream.readers.isEmpty() && stream.unreadSinceNanos - limit < 0) {
                if (!stream.ended()) {
                    end(stream, EngineStream.State.CANCELLED);
                    totals.cancelled++;
                }
                streams.remove(stream.run);
            }
        }
    }

    private void publish(String kind, String owner) {
        long lag = TimeUnit.MILLISECONDS.toNanos(options.reportLagMillis());
        long visible = System.nanoTime() + (long) (random.nextDouble() * lag);
        long drop = Math.max(GAP_PERCENT, faults.number(EngineFault.DROP_EVENTS_PERCENT));
        nextEvent++;
        if (random.nextInt(100) >= drop) {
            events.add(new CacheEvent(nextEvent, kind, owner, visible));
        }
        while (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    /** Waits for the length of a step; parking may return early. */
    private static void sleepMicros(long micros) {
        long end = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(micros);
        for (long left = end - System.nanoTime(); left > 0; left = end - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
