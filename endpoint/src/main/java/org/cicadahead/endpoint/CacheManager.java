package org.cicadahead.endpoint;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadahead.cache.CacheTracker;
import org.cicadahead.engine.EngineClient;
import org.cicadahead.engine.EngineStatus;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.CheckPrograms;
import org.cicadahead.protocol.EndedDelta;
import org.cicadahead.protocol.ProgramsGone;
import org.jboss.logging.Logger;

/**
 * Keeps the cache tracker up to date and releases cache on the engine as the tracker decides. Thread-safe; no other
 * lock is acquired while the lock of this object is held.
 */
final class CacheManager {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    /**
     * The interval at which the tracker is reconciled with the engine's list of cached programs, in milliseconds. This
     * is needed because cache events may be lost.
     */
    private static final long RECONCILE_INTERVAL_MILLIS = 5_000;

    private static final int CHECK_BATCH_SIZE = 500;
    private static final long CHECK_TIMEOUT_MILLIS = 2_000;

    private final EngineClient engine;
    private final ControlPort control;
    private final MetricRegistry metrics;
    private final CacheTracker tracker = CacheTracker.of(CacheTracker.DEFAULT_IDLE_LIMIT_MILLIS);
    private final AtomicBoolean listPending = new AtomicBoolean();
    private final AtomicBoolean checkPending = new AtomicBoolean();
    private long nextReconcileMillis;
    private boolean checkAll;

    CacheManager(EngineClient engine, ControlPort control, MetricRegistry metrics, long nowMillis) {
        this.engine = engine;
        this.control = control;
        this.metrics = metrics;
        this.nextReconcileMillis = nowMillis;
    }

    synchronized void runStarted(ProgramKey program, long nowMillis) {
        if (program != null) {
            tracker.runStarted(program, nowMillis);
        }
    }

    synchronized void runEnded(ProgramKey program, long contextTokens, long nowMillis) {
        if (program != null) {
            tracker.runEnded(program, contextTokens, nowMillis);
        }
    }

    synchronized void programsEnded(EndedDelta delta) {
        tracker.ended(delta.programs());
        checkAll |= delta.incomplete();
    }

    synchronized void statusReceived(EngineStatus status, long nowMillis) {
        if (tracker.instanceReported(status.instance())) {
            LOG.infof("endpoint: The engine has restarted as instance %s with an empty cache", status.instance());
            nextReconcileMillis = nowMillis;
        }
        tracker.evictUnderPressure(status.cachedTokens(), status.cacheCapacityTokens(), nowMillis);
    }

    synchronized Set<ProgramKey> programs() {
        return tracker.programs();
    }

    void tick(long nowMillis) {
        List<ProgramKey> due;
        boolean reconcile;
        synchronized (this) {
            due = tracker.pollDueReleases(nowMillis);
            reconcile = nowMillis - nextReconcileMillis >= 0;
        }
        due.forEach(this::release);
        if (reconcile) {
            reconcile(nowMillis);
        }
        checkPrograms();
    }

    /** Returns the program that owns cache on the engine, or null if the owner is not the name of a program. */
    static ProgramKey parseOwner(String owner) {
        int slash = owner.indexOf('/');
        try {
            return ProgramKey.of(
                    OrganisationId.of(owner.substring(0, slash)), ProgramId.of(owner.substring(slash + 1)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    private void release(ProgramKey program) {
        engine.release(program.toString()).whenComplete((done, failure) -> {
            if (failure == null) {
                metrics.counter("endpoint.cache.releases").inc();
                synchronized (this) {
                    tracker.released(program);
                }
            } else {
                metrics.counter("endpoint.cache.release_failures").inc();
                LOG.debugf("endpoint: A cache release failed and will be retried: %s", failure.getMessage());
            }
        });
    }

    private void reconcile(long nowMillis) {
        if (!listPending.compareAndSet(false, true)) {
            return;
        }
        Set<ProgramKey> trackedBefore = programs();
        engine.cacheList().whenComplete((owners, failure) -> {
            listPending.set(false);
            if (failure == null) {
                Map<ProgramKey, Long> cachedTokensByProgram = new HashMap<>();
                owners.forEach((owner, tokens) -> {
                    ProgramKey program = parseOwner(owner);
                    if (program == null) {
                        engine.release(owner);
                    } else {
                        cachedTokensByProgram.put(program, tokens);
                    }
                });
                synchronized (this) {
                    tracker.reconcile(cachedTokensByProgram, trackedBefore, nowMillis);
                    nextReconcileMillis = nowMillis + RECONCILE_INTERVAL_MILLIS;
                }
            }
        });
    }

    /**
     * Asks control whether the programs that only the engine has reported have ended. Asks about all tracked programs
     * if control's list of ended programs was incomplete.
     */
    private void checkPrograms() {
        List<ProgramKey> toCheck;
        boolean all;
        synchronized (this) {
            all = checkAll;
            toCheck = all ? List.copyOf(tracker.programs()) : tracker.unverified();
        }
        if (toCheck.isEmpty() || !checkPending.compareAndSet(false, true)) {
            return;
        }
        List<List<ProgramKey>> batches = new ArrayList<>();
        for (int i = 0; i < toCheck.size(); i += CHECK_BATCH_SIZE) {
            batches.add(toCheck.subList(i, Math.min(toCheck.size(), i + CHECK_BATCH_SIZE)));
        }
        checkBatch(batches, 0, all);
    }

    private void checkBatch(List<List<ProgramKey>> batches, int index, boolean all) {
        if (index == batches.size()) {
            synchronized (this) {
                checkAll &= !all;
            }
            checkPending.set(false);
            return;
        }
        List<ProgramKey> batch = batches.get(index);
        control.call(new CheckPrograms(batch), ProgramsGone.class, CHECK_TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> {
                    if (failure == null) {
                        applyCheck(batch, reply.gone());
                        checkBatch(batches, index + 1, all);
                    } else {
                        checkPending.set(false);
                    }
                });
    }

    private synchronized void applyCheck(List<ProgramKey> checked, Collection<ProgramKey> gone) {
        tracker.ended(gone);
        Set<ProgramKey> alive = new HashSet<>(checked);
        alive.removeAll(gone);
        tracker.markVerified(alive);
    }
}
