package org.cicadahead.testbed.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadahead.model.ProgramKey;

/**
 * One engine in virtual time: continuous batching with a step that grows with the batch, and a limited prefix cache
 * with eviction of the least recently used program. It knows no priorities and admits what it gets.
 */
final class FakeEngine {
    /** The running requests that the endpoint allows, which makes a token interval of about 20 ms. */
    static final int CAPACITY = 32;
    /** The same step times and cache as the emulated engine of the test bed. */
    static final double PREFILL_MICROS_PER_TOKEN = 25;

    static final long CACHE_TOKENS = 400_000;

    private static final double BASE_MICROS = 6_000;
    private static final double MICROS_PER_REQUEST = 400;
    private static final double MICROS_PER_CONTEXT_TOKEN = 0.02;
    private static final int CHUNK_TOKENS = 256;

    private final Clock clock;
    private final StepListener listener;
    private final List<Call> batch = new ArrayList<>();
    private final LinkedHashMap<ProgramKey, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<ProgramKey, Integer> pinned = new HashMap<>();
    private final Set<ProgramKey> gone = new HashSet<>();
    private final Map<ProgramKey, Long> lostToGone;
    private long cachedTokens;
    private boolean stepping;
    private boolean dead;

    /** Gets the length of each step. */
    interface StepListener {
        void stepped(int streams, long micros);
    }

    /** A call in the batch. */
    private static final class Call {
        private final Request request;
        private final Runnable done;
        private int prefillLeft;
        private int outputLeft;
        private long context;

        Call(Request request, int prefill, Runnable done) {
            this.request = request;
            this.done = done;
            this.prefillLeft = prefill;
            this.outputLeft = request.turn().outputTokens();
            this.context = request.promptTokens();
        }
    }

    FakeEngine(Clock clock, Map<ProgramKey, Long> lostToGone, StepListener listener) {
        this.clock = clock;
        this.lostToGone = lostToGone;
        this.listener = listener;
    }

    /** The time of an output token in a full batch, in microseconds of the engine. */
    static double fullBatchMicrosPerToken(long context) {
        return BASE_MICROS / CAPACITY + MICROS_PER_REQUEST + MICROS_PER_CONTEXT_TOKEN * context;
    }

    /** Returns the prompt tokens of a request that the cache holds. */
    long cached(Request request) {
        long own = cache.containsKey(request.key()) ? cache.get(request.key()) : 0;
        long shared = 0;
        for (ProgramKey relative : request.relatives()) {
            Long tokens = cache.containsKey(relative) ? cache.get(relative) : null;
            shared = Math.max(shared, tokens == null ? 0 : Math.min(tokens, request.inheritedTokens()));
        }
        return Math.min(request.promptTokens(), Math.max(own, shared));
    }

    void run(Request request, Runnable done) {
        int prefill = (int) Math.max(1, request.promptTokens() - cached(request));
        batch.add(new Call(request, prefill, done));
        pinned.merge(request.key(), 1, Integer::sum);
        put(request.key(), request.promptTokens());
        if (!stepping) {
            stepping = true;
            step();
        }
    }

    long cachedTokens() {
        return cachedTokens;
    }

    /** Marks programs that have ended; their cache is of no use from now on. */
    void gone(Collection<ProgramKey> owners) {
        owners.stream().filter(cache::containsKey).forEach(gone::add);
    }

    void release(ProgramKey owner) {
        if (!pinned.containsKey(owner)) {
            drop(owner);
        }
    }

    /** Stops the engine; its batch never completes. */
    void kill() {
        dead = true;
        batch.clear();
        cache.clear();
    }

    private void step() {
        if (dead || batch.isEmpty()) {
            stepping = false;
            return;
        }
        double micros = BASE_MICROS;
        int budget = CHUNK_TOKENS;
        List<Call> decoding = new ArrayList<>();
        for (Call call : batch) {
            micros += MICROS_PER_REQUEST + MICROS_PER_CONTEXT_TOKEN * call.context;
            if (call.prefillLeft == 0) {
                decoding.add(call);
            } else if (budget > 0) {
                int part = Math.min(budget, call.prefillLeft);
                call.prefillLeft -= part;
                budget -= part;
                micros += part * PREFILL_MICROS_PER_TOKEN;
            }
        }
        long length = Math.round(micros);
        clock.after(length, () -> stepped(decoding, length));
    }

    private void stepped(List<Call> decoding, long micros) {
        if (dead) {
            return;
        }
        List<Call> finished = new ArrayList<>();
        for (Call call : decoding) {
            call.outputLeft--;
            call.context++;
            if (call.outputLeft == 0) {
                finished.add(call);
            }
        }
        listener.stepped(decoding.size(), micros);
        batch.removeAll(finished);
        for (Call call : finished) {
            ProgramKey owner = call.request.key();
            pinned.computeIfPresent(owner, (name, count) -> count == 1 ? null : count - 1);
            put(owner, call.context);
        }
        finished.forEach(call -> call.done.run());
        step();
    }

    private void put(ProgramKey owner, long tokens) {
        Long before = cache.put(owner, tokens);
        cachedTokens += tokens - (before == null ? 0 : before);
        gone.remove(owner);
        if (cachedTokens <= CACHE_TOKENS) {
            return;
        }
        for (ProgramKey old : List.copyOf(cache.keySet())) {
            if (cachedTokens <= CACHE_TOKENS) {
                return;
            }
            if (!pinned.containsKey(old)) {
                drop(old);
            }
        }
    }

    private void drop(ProgramKey owner) {
        Long tokens = cache.remove(owner);
        if (tokens == null) {
            return;
        }
        cachedTokens -= tokens;
        if (!gone.remove(owner)) {
            long held = gone.stream().mapToLong(cache::get).sum();
            lostToGone.merge(owner, Math.min(tokens, held), Math::max);
        }
    }
}
