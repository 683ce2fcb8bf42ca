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
 * Knows which programs have cache on the engine and which must be released. Not safe for use by several threads.
 *
 * <p>A release is offered by {@link #pollDueReleases(long)} again and again until {@link #released(ProgramKey)} confirms it. A
 * program that is running is never released.
 */
public final class CacheTracker {
    /** Default silence after which a program's cache is released, in milliseconds. */
    public static final long DEFAULT_IDLE_LIMIT_MILLIS = 600_000;

    /** Share of the engine's cache above which programs are dropped before the engine evicts by itself. */
    private static final double PRESSURE_HIGH = 0.92;
    /** Share of the engine's cache down to which programs are dropped. */
    private static final double PRESSURE_LOW = 0.85;

    private static final long FIRST_RETRY_MILLIS = 200;
    private static final long MAX_RETRY_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 5;
    /** Pause expected of a program that has not paused yet, in milliseconds: a usual tool call. */
    private static final double INITIAL_PAUSE_MILLIS = 5_000;
    /** Weight of a new pause in the mean over all programs. */
    private static final double NEW_PAUSE_WEIGHT = 0.05;

    private final long idleLimitMillis;
    private final Map<ProgramKey, LedgerEntry> entries = new HashMap<>();
    private double meanPauseMillis = INITIAL_PAUSE_MILLIS;
    private String instance = "";

    private CacheTracker(long idleLimitMillis) {
        this.idleLimitMillis = idleLimitMillis;
    }

    /**
     * Returns an empty ledger.
     *
     * @param idleLimitMillis silence after which a program's cache is released, in milliseconds
     * @return the ledger
     */
    public static CacheTracker of(long idleLimitMillis) {
        return new CacheTracker(idleLimitMillis);
    }

    /**
     * Notes that a run of a program starts.
     *
     * @param program the program
     * @param nowMillis the current time
     */
    public void runStarted(ProgramKey program, long nowMillis) {
        LedgerEntry entry = entries.get(program);
        if (entry == null) {
            entry = new LedgerEntry(nowMillis);
            entries.put(program, entry);
        } else if (entry.running == 0) {
            long pause = nowMillis - entry.lastUseMillis;
            entry.pauseSeen(pause);
            meanPauseMillis = meanPauseMillis * (1 - NEW_PAUSE_WEIGHT) + pause * NEW_PAUSE_WEIGHT;
        }
        entry.verified = true;
        entry.dropping = false;
        entry.attempts = 0;
        entry.nextAttemptMillis = nowMillis;
        entry.running++;
        entry.lastUseMillis = nowMillis;
    }

    /**
     * Notes that a run of a program is over. A program whose predicted pause is longer than the idle limit is dropped
     * at once.
     *
     * @param program the program
     * @param contextTokens the tokens of its context, or 0 if not known
     * @param nowMillis the current time
     */
    public void runEnded(ProgramKey program, long contextTokens, long nowMillis) {
        LedgerEntry entry = entries.get(program);
        if (entry == null) {
            return;
        }
        entry.running = Math.max(0, entry.running - 1);
        entry.lastUseMillis = nowMillis;
        entry.tokens = Math.max(entry.tokens, contextTokens);
        entry.dropping = entry.pauseMillis > idleLimitMillis;
    }

    /**
     * Notes programs that have ended.
     *
     * @param programs the programs
     */
    public void ended(Collection<ProgramKey> programs) {
        for (ProgramKey program : programs) {
            LedgerEntry entry = entries.get(program);
            if (entry != null) {
                entry.ended = true;
                entry.verified = true;
            }
        }
    }

    /**
     * Notes the instance of the engine; a new one has an empty cache.
     *
     * @param id the instance id
     * @return true if the engine has restarted since the last call
     */
    public boolean instanceSeen(String id) {
        boolean restarted = !instance.isEmpty() && !instance.equals(id);
        instance = id;
        if (restarted) {
            entries.values().forEach(entry -> entry.tokens = 0);
            entries.values().removeIf(entry -> entry.running == 0);
        }
        return restarted;
    }

    /**
     * Compares the ledger with the engine's own list. Programs that only the engine knows must be checked with control.
     *
     * @param held the tokens of each program on the engine
     * @param releasedBefore a copy of {@link #programs()} from before the list was asked for; programs that came later
     *     are left alone
     * @param nowMillis the current time
     */
    public void reconcile(Map<ProgramKey, Long> held, Set<ProgramKey> releasedBefore, long nowMillis) {
        held.forEach((program, tokens) -> {
            LedgerEntry entry = entries.get(program);
            if (entry == null) {
                entry = new LedgerEntry(nowMillis);
                entries.put(program, entry);
            }
            entry.tokens = tokens;
        });
        entries.entrySet()
                .removeIf(known -> known.getValue().running == 0
                        && !held.containsKey(known.getKey())
                        && releasedBefore.contains(known.getKey())
                        && known.getValue().lastUseMillis < nowMillis);
    }

    /**
     * Returns programs that only the engine knew of, until control has been asked about them.
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
     * Notes that control knows programs as alive.
     *
     * @param programs the programs
     */
    public void verified(Collection<ProgramKey> programs) {
        programs.stream().map(entries::get).filter(entry -> entry != null).forEach(entry -> entry.verified = true);
    }

    /**
     * Drops programs whose next use is furthest away when the engine's cache is nearly full.
     *
     * @param cachedTokens the tokens in the cache
     * @param capacityTokens the tokens that it holds
     * @param nowMillis the current time
     */
    public void evictUnderPressure(long cachedTokens, long capacityTokens, long nowMillis) {
        if (capacityTokens <= 0 || cachedTokens <= capacityTokens * PRESSURE_HIGH) {
            return;
        }
        double excess = cachedTokens - capacityTokens * PRESSURE_LOW;
        for (LedgerEntry entry : entries.values()) {
            excess -= entry.wantsRelease(idleLimitMillis, nowMillis) ? entry.tokens : 0;
        }
        List<LedgerEntry> idle = new ArrayList<>(entries.values());
        idle.removeIf(entry -> entry.running > 0 || entry.wantsRelease(idleLimitMillis, nowMillis));
        idle.sort(Comparator.comparingDouble((LedgerEntry entry) -> -entry.remainingPause(meanPauseMillis, nowMillis))
                .thenComparingLong(entry -> -entry.tokens));
        for (LedgerEntry entry : idle) {
            if (excess <= 0) {
                return;
            }
            entry.dropping = true;
            excess -= entry.tokens;
        }
    }

    /**
     * Returns the programs whose release is to be sent now, and counts an attempt for each.
     *
     * @param nowMillis the current time
     * @return the programs
     */
    public List<ProgramKey> pollDueReleases(long nowMillis) {
        List<ProgramKey> due = new ArrayList<>();
        entries.forEach((program, entry) -> {
            if (entry.wantsRelease(idleLimitMillis, nowMillis) && nowMillis - entry.nextAttemptMillis >= 0) {
                long backoff = FIRST_RETRY_MILLIS << Math.min(entry.attempts, MAX_DOUBLINGS);
                entry.nextAttemptMillis = nowMillis + Math.min(backoff, MAX_RETRY_MILLIS);
                entry.attempts++;
                due.add(program);
            }
        });
        return due;
    }

    /**
     * Notes that the engine has acknowledged a release. Does nothing if the program has been used since.
     *
     * @param program the program
     */
    public void released(ProgramKey program) {
        Optional.ofNullable(entries.get(program))
                .filter(entry -> entry.running == 0 && entry.attempts > 0)
                .ifPresent(entry -> entries.remove(program));
    }

    /**
     * Returns the programs in the ledger.
     *
     * @return a copy
     */
    public Set<ProgramKey> programs() {
        return new HashSet<>(entries.keySet());
    }

    /**
     * Returns the tokens of all programs in the ledger.
     *
     * @return the tokens, where shared prefixes count several times
     */
    public long tokens() {
        return entries.values().stream().mapToLong(entry -> entry.tokens).sum();
    }
}
