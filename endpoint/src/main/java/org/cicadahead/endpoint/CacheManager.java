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

/** Carries out what the cache ledger decides. Safe for use by several threads; the lock of this object is a leaf. */
final class CacheManager {
    private static final Logger LOG = Logger.getLogger("cicadahead.endpoint");
    /** How often the ledger is compared with the engine's list, in milliseconds; cache events have gaps. */
    private static final long RECONCILE_MILLIS = 5_000;

    private static final int CHECK_BATCH = 500;
    private static final long CHECK_TIMEOUT_MILLIS = 2_000;

    private final EngineClient engine;
    private final ControlPort control;
    private final MetricRegistry metrics;
    private final CacheTracker ledger = CacheTracker.of(CacheTracker.DEFAULT_IDLE_LIMIT_MILLIS);
    private final AtomicBoolean listing = new AtomicBoolean();
    private final AtomicBoolean checking = new AtomicBoolean();
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
            ledger.runStarted(program, nowMillis);
        }
    }

    synchronized void runEnded(ProgramKey program, long contextTokens, long nowMillis) {
        if (program != null) {
            ledger.runEnded(program, contextTokens, nowMillis);
        }
    }

    synchronized void ended(EndedDelta delta) {
        ledger.ended(delta.programs());
        checkAll |= delta.incomplete();
    }

    synchronized void statusSeen(EngineStatus status, long nowMillis) {
        if (ledger.instanceReported(status.instance())) {
            LOG.infof("endpoint: The engine has restarted as %s, and its cache is empty", status.instance());
            nextReconcileMillis = nowMillis;
        }
        ledger.evictUnderPressure(status.cachedTokens(), status.cacheCapacityTokens(), nowMillis);
    }

    synchronized Set<ProgramKey> programs() {
        return ledger.programs();
    }

    void tick(long nowMillis) {
        List<ProgramKey> due;
        boolean list;
        synchronized (this) {
            due = ledger.pollDueReleases(nowMillis);
            list = nowMillis - nextReconcileMillis >= 0;
        }
        due.forEach(this::release);
        if (list) {
            reconcile(nowMillis);
        }
        check();
    }

    static ProgramKey parse(String owner) {
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
                    ledger.released(program);
                }
            } else {
                metrics.counter("endpoint.cache.release_failures").inc();
                LOG.debugf("endpoint: A release failed and is retried: %s", failure.getMessage());
            }
        });
    }

    private void reconcile(long nowMillis) {
        if (!listing.compareAndSet(false, true)) {
            return;
        }
        Set<ProgramKey> before = programs();
        engine.cacheList().whenComplete((owners, failure) -> {
            listing.set(false);
            if (failure == null) {
                Map<ProgramKey, Long> held = new HashMap<>();
                owners.forEach((owner, tokens) -> {
                    ProgramKey program = parse(owner);
                    if (program == null) {
                        engine.release(owner);
                    } else {
                        held.put(program, tokens);
                    }
                });
                synchronized (this) {
                    ledger.reconcile(held, before, nowMillis);
                    nextReconcileMillis = nowMillis + RECONCILE_MILLIS;
                }
            }
        });
    }

    /** Asks control about programs that only the engine knew of, or about all after a gap in the list of ends. */
    private void check() {
        List<ProgramKey> unknown;
        boolean all;
        synchronized (this) {
            all = checkAll;
            unknown = all ? List.copyOf(ledger.programs()) : ledger.unverified();
        }
        if (unknown.isEmpty() || !checking.compareAndSet(false, true)) {
            return;
        }
        List<List<ProgramKey>> batches = new ArrayList<>();
        for (int i = 0; i < unknown.size(); i += CHECK_BATCH) {
            batches.add(unknown.subList(i, Math.min(unknown.size(), i + CHECK_BATCH)));
        }
        checkBatch(batches, 0, all);
    }

    private void checkBatch(List<List<ProgramKey>> batches, int index, boolean all) {
        if (index == batches.size()) {
            synchronized (this) {
                checkAll &= !all;
            }
            checking.set(false);
            return;
        }
        List<ProgramKey> batch = batches.get(index);
        control.call(new CheckPrograms(batch), ProgramsGone.class, CHECK_TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> {
                    if (failure == null) {
                        checked(batch, reply.gone());
                        checkBatch(batches, index + 1, all);
                    } else {
                        checking.set(false);
                    }
                });
    }

    private synchronized void checked(List<ProgramKey> asked, Collection<ProgramKey> gone) {
        ledger.ended(gone);
        Set<ProgramKey> alive = new HashSet<>(asked);
        alive.removeAll(gone);
        ledger.markVerified(alive);
    }
}
