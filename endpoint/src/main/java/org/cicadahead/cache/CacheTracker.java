package org.cicadahead.cache;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadahead.model.ProgramKey;

/**
 * Tracks which programs have cached tokens on the engine and decides when to release them. Not thread-safe.
 *
 * <p>{@link #pollDueReleases(long)} returns a program repeatedly, with back-off, until {@link #released(ProgramKey)}
 * confirms the release. The cache of a running program is never released.
 */
public final class CacheTracker {
    /** Default idle time after which a program's cache is released, in milliseconds. */
    public static final long DEFAULT_IDLE_LIMIT_MILLIS = 600_000;

    /** Fill level of the engine's cache above which this class evicts programs, before the engine evicts by itself. */
    private static final double HIGH_WATERMARK = 0.92;
    /** Fill level of the engine's cache down to which programs are evicted. */
    private static final double LOW_WATERMARK = 0.85;

    private static final long FIRST_RETRY_MILLIS = 200;
    private static final long MAX_RETRY_MILLIS = 5_000;
    private static final int MAX_RETRY_DOUBLINGS = 5;
    /** Predicted pause before any pause was measured, in milliseconds: the duration of a typical tool call. */
    private static final double INITIAL_PAUSE_MILLIS = 5_000;
    /** Weight of a new pause in the moving average over all programs. */
    private static final double NEW_PAUSE_WEIGHT = 0.05;

    private final long idleLimitMillis;
    private final Map<ProgramKey, CacheEntry> entries = new HashMap<>();
    private double meanPauseMillis = INITIAL_PAUSE_MILLIS;
    private String instance = "";

    private CacheTracker(long idleLimitMillis) {
        this.idleLimitMillis = idleLimitMillis;
    }

    /**
     * Returns an empty tracker.
     *
     * @param idleLimitMillis idle time after which a program's cache is released, in milliseconds
     * @return the tracker
     */
    public static CacheTracker of(long idleLimitMillis) {
        return new CacheTracker(idleLimitMillis);
    }

    /**
     * Records the start of a run of a program.
     *
     * @param program the program
     * @param nowMillis the current time
     */
    public void runStarted(ProgramKey program, long nowMillis) {
        CacheEntry entry = entries.get(program);
        if (entry == null) {
            entry = new CacheEntry(nowMillis);
            entries.put(program, entry);
        } else if (entry.running == 0) {
            long pause = nowMillis - entry.lastUseMillis;
            entry.recordPause(pause);
            meanPauseMillis = meanPauseMillis * (1 - NEW_PAUSE_WEIGHT) + pause * NEW_PAUSE_WEIGHT;
        }
        entry.verified = true;
        entry.evicting = false;
        entry.releaseAttempts = 0;
        entry.nextReleaseMillis = nowMillis;
        entry.running++;
        entry.lastUseMillis = nowMillis;
    }

    /**
     * Records the end of a run of a program. A program whose mean pause exceeds the idle limit is evicted immediately,
     * because its cache would be released before its next run anyway.
     *
     * @param program the program
     * @param contextTokens the number of tokens in its context, or 0 if unknown
     * @param nowMillis the current time
     */
    public void runEnded(ProgramKey program, long contextTokens, long nowMillis) {
        CacheEntry entry = entries.get(program);
        if (entry == null) {
            return;
        }
        entry.running = Math.max(0, entry.running - 1);
        entry.lastUseMillis = nowMillis;
        entry.tokens = Math.max(entry.tokens, contextTokens);
        entry.evicting = entry.meanPauseMillis > idleLimitMillis;
    }

    /**
     * Marks programs as ended, so that their cache is released.
     *
     * @param programs the programs
     */
    public void ended(Collection<ProgramKey> programs) {
        for (ProgramKey program : programs) {
            CacheEntry entry = entries.get(program);
            if (entry != null) {
                entry.ended = true;
                entry.verified = true;
            }
        }
    }

    /**
     * Records the instance id of the engine. An engine with a new id has restarted with an empty cache.
     *
     * @param id the instance id
     * @return true if the engine has restarted since the last call
     */
    public boolean instanceReported(String id) {
        boolean restarted = !instance.isEmpty() && !instance.equals(id);
        instance = id;
        if (restarted) {
            entries.values().forEach(entry -> entry.tokens = 0);
            entries.values().removeIf(entry -> entry.running == 0);
        }
        return restarted;
    }

    /**
     * Reconciles the tracked programs with the engine's own list. Programs that only the engine knows are added as
     * unverified.
     *
     * @param cachedTokensByProgram the number of cached tokens of each program, as listed by the engine
     * @param trackedBefore a copy of {@link #programs()} taken before the list was requested; programs that were added
     *     later are not removed, as the list may not contain them yet
     * @param nowMillis the current time
     */
    public void reconcile(Map<ProgramKey, Long> cachedTokensByProgram, Set<ProgramKey> trackedBefore, long nowMillis) {
        cachedTokensByProgram.forEach((program, tokens) -> {
            CacheEntry entry = entries.get(program);
            if (entry == null) {
                entry = new CacheEntry(nowMillis);
                entries.put(program, entry);
            }
            entry.tokens = tokens;
        });
        entries.entrySet()
                .removeIf(known -> known.getValue().running == 0
                        && !cachedTokensByProgram.containsKey(known.getKey())
                        && trackedBefore.contains(known.getKey())
                        && known.getValue().lastUseMillis < nowMillis);
    }

    /**
     * Returns the programs that only the engine has reported and that control has not been asked about yet.
     *
     * @return the programs
     */
    public List<ProgramKey> unverified() {
        return entries.entrySet().stream()
                .filter(entry -> !entry.getValue().verified)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Marks programs as known to control and not ended.
     *
     * @param programs the programs
     */
    public void markVerified(Collection<ProgramKey> programs) {
        programs.stream().map(entries::get).filter(entry -> entry != null).forEach(entry -> entry.verified = true);
    }

    /**
     * Evicts the programs with the latest predicted next run if the engine's cache is nearly full.
     *
     * @param cachedTokens the number of tokens in the cache
     * @param capacityTokens the capacity of the cache in tokens
     * @param nowMillis the current time
     */
    public void evictUnderPressure(long cachedTokens, long capacityTokens, long nowMillis) {
        if (capacityTokens <= 0 || cachedTokens <= capacityTokens * HIGH_WATERMARK) {
            return;
        }
        double excess = cachedTokens - capacityTokens * LOW_WATERMARK;
        for (CacheEntry entry : entries.values()) {
            excess -= entry.needsRelease(idleLimitMillis, nowMillis) ? entry.tokens : 0;
        }
        List<CacheEntry> idle = new ArrayList<>(entries.values());
        idle.removeIf(entry -> entry.running > 0 || entry.needsRelease(idleLimitMillis, nowMillis));
        idle.sort(Comparator.comparingDouble((CacheEntry entry) -> -entry.remainingPause(meanPauseMillis, nowMillis))
                .thenComparingLong(entry -> -entry.tokens));
        for (CacheEntry entry : idle) {
            if (excess <= 0) {
                return;
            }
            entry.evicting = true;
            excess -= entry.tokens;
        }
    }

    /**
     * Returns the programs whose release must be sent now, and counts a release attempt for each.
     *
     * @param nowMillis the current time
     * @return the programs
     */
    public List<ProgramKey> pollDueReleases(long nowMillis) {
        List<ProgramKey> due = new ArrayList<>();
        entries.forEach((program, entry) -> {
            if (entry.needsRelease(idleLimitMillis, nowMillis) && nowMillis - entry.nextReleaseMillis >= 0) {
                long backoff = FIRST_RETRY_MILLIS << Math.min(entry.releaseAttempts, MAX_RETRY_DOUBLINGS);
                entry.nextReleaseMillis = nowMillis + Math.min(backoff, MAX_RETRY_MILLIS);
                entry.releaseAttempts++;
                due.add(program);
            }
        });
        return due;
    }

    /**
     * Records that the engine has acknowledged a release. Does nothing if the program has run since.
     *
     * @param program the program
     */
    public void released(ProgramKey program) {
        Optional.ofNullable(entries.get(program))
                .filter(entry -> entry.running == 0 && entry.releaseAttempts > 0)
                .ifPresent(entry -> entries.remove(program));
    }

    /**
     * Returns the tracked programs.
     *
     * @return a copy
     */
    public Set<ProgramKey> programs() {
        return new HashSet<>(entries.keySet());
    }

    /**
     * Returns the number of cached tokens over all tracked programs.
     *
     * @return the sum, which counts a prefix once for each program that shares it
     */
    public long tokens() {
        return entries.values().stream().mapToLong(entry -> entry.tokens).sum();
    }
}
