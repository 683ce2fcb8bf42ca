package org.cicadahead.gateway;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.fleet.QuotaNeed;
import org.cicadahead.fleet.QuotaShare;
import org.cicadahead.fleet.QuotaShares;
import org.cicadahead.fleet.RequestQuota;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.quota.LocalQuota;
import org.cicadahead.site.SiteConfiguration;
import org.cicadahead.site.SiteOrganisation;
import org.jboss.logging.Logger;

/**
 * Admits requests against the quota shares that the entry holds of the organisations' rates. Thread-safe; callbacks run
 * outside its lock.
 */
final class RateLimiter {
    /**
     * The interval at which shares are renewed, in milliseconds; a fifth of their lease, so that a share outlasts lost
     * responses.
     */
    static final long RENEW_MILLIS = 1_000;
    /** The minimum time between two requests for shares, in milliseconds: about one round trip. */
    static final long MIN_REQUEST_INTERVAL_MILLIS = 3;
    /**
     * The maximum time that a request waits for a response of the leader, in milliseconds; longer than most elections.
     * Usually the leader responds within a few milliseconds, and its response then decides whether a request over the
     * rate is refused.
     */
    static final long MAX_WAIT_MILLIS = 450;

    /** The initial value of a time that has not been set, in milliseconds; earlier than any time of the clock. */
    private static final long NEVER = Long.MIN_VALUE / 2;
    /** The maximum wait for a token once the leader has responded, in milliseconds. */
    static final long MAX_TOKEN_WAIT_MILLIS = 150;
    /** A sequence number lower than that of any waiting request. */
    private static final long NO_WAITER = 0;

    private static final Logger LOG = Logger.getLogger("cicadahead.gateway");

    private final String entry;
    private final HubLeader leader;
    private final LongSupplier clock;
    private final Map<String, OrganisationState> organisations = new HashMap<>();
    private long requestedMillis = NEVER;
    private long renewedMillis = NEVER;
    private boolean requestPending;
    private boolean siteChanged;
    private long lastSequence;

    /** Requests quota shares from the leader of the hubs. */
    interface HubLeader {
        CompletableFuture<QuotaShares> requestShares(RequestQuota request);
    }

    private record Waiter(PriorityClass priority, long sequence, Consumer<GatewayRefusal> callback, long arrivedMillis)
            implements Comparable<Waiter> {
        @Override
        public int compareTo(Waiter other) {
            int order = priority.compareTo(other.priority);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }

    private record Decision(Consumer<GatewayRefusal> callback, GatewayRefusal refusal) {}

    /** The quota share and the waiting requests of one organisation. */
    private static final class OrganisationState {
        private final LocalQuota quota;
        private final TreeSet<Waiter> waiters = new TreeSet<>();
        private double rate;
        private boolean leaderUnavailable;

        OrganisationState(LocalQuota quota) {
            this.quota = quota;
        }
    }

    RateLimiter(String entry, HubLeader leader, LongSupplier clock) {
        this.entry = entry;
        this.leader = leader;
        this.clock = clock;
    }

    /** Admits or refuses a request, at once or later; the callback receives null if the request is admitted. */
    void admit(SiteOrganisation organisation, PriorityClass priority, Consumer<GatewayRefusal> callback) {
        if (organisation == null || !organisation.limited()) {
            callback.accept(null);
            return;
        }
        long now = clock.getAsLong();
        boolean admitted;
        synchronized (this) {
            OrganisationState state = organisations.computeIfAbsent(
                    organisation.name(), name -> new OrganisationState(LocalQuota.create(name, now)));
            state.rate = organisation.ratePerSecond();
            state.quota.recordArrival(now);
            admitted = isFirst(state, priority) && state.quota.tryAcquire(priority, now);
            if (!admitted) {
                state.waiters.add(new Waiter(priority, ++lastSequence, callback, now));
            }
        }
        if (admitted) {
            callback.accept(null);
        } else {
            requestShares(now);
        }
    }

    /** Returns the token of a request that was admitted but did not run. */
    void refund(SiteOrganisation organisation) {
        if (organisation != null && organisation.limited()) {
            synchronized (this) {
                OrganisationState state = organisations.get(organisation.name());
                if (state != null) {
                    state.quota.refund(clock.getAsLong());
                }
            }
        }
    }

    /**
     * Applies a change of the configuration. A lower rate takes effect at once; a higher one needs a grant of the
     * leader.
     */
    void applyConfiguration(SiteConfiguration site) {
        long now = clock.getAsLong();
        synchronized (this) {
            Map<String, SiteOrganisation> limits = site.organisationsByName();
            organisations.forEach((name, state) -> {
                SiteOrganisation limit = limits.get(name);
                if (limit != null && limit.limited() && state.rate > 0) {
                    state.quota.scale(limit.ratePerSecond() / state.rate, now);
                    state.rate = limit.ratePerSecond();
                }
            });
            siteChanged = true;
        }
    }

    /** Processes the waiting requests and renews shares; called every few tens of milliseconds. */
    void tick() {
        long now = clock.getAsLong();
        List<Decision> decisions = new ArrayList<>();
        boolean renewalDue;
        synchronized (this) {
            organisations.values().forEach(state -> processWaiters(state, NO_WAITER, decisions, now));
            organisations.values().removeIf(state -> state.waiters.isEmpty() && state.quota.isIdle(now));
            renewalDue = !organisations.isEmpty()
                    && (now - renewedMillis >= RENEW_MILLIS
                            || siteChanged
                            || organisations.values().stream().anyMatch(state -> !state.waiters.isEmpty()));
        }
        notifyCallers(decisions);
        if (renewalDue) {
            requestShares(now);
        }
    }

    private void requestShares(long now) {
        RequestQuota request;
        long lastIncludedWaiter;
        synchronized (this) {
            if (requestPending || now - requestedMillis < MIN_REQUEST_INTERVAL_MILLIS) {
                return;
            }
            requestPending = true;
            lastIncludedWaiter = lastSequence;
            requestedMillis = now;
            request = new RequestQuota(entry, needs(now));
        }
        leader.requestShares(request)
                .whenComplete((reply, failure) -> sharesReceived(reply, failure, now, lastIncludedWaiter));
    }

    /**
     * Returns the needs to send to the leader: those of all organisations when shares are due for renewal, otherwise
     * only those with waiting requests. Sending all of them for each waiting request would saturate the links and the
     * leader's processor.
     */
    private List<QuotaNeed> needs(long now) {
        boolean all = siteChanged || now - renewedMillis >= RENEW_MILLIS;
        if (all) {
            siteChanged = false;
            renewedMillis = now;
        }
        List<QuotaNeed> needs = new ArrayList<>();
        organisations.values().forEach(state -> {
            if (all || !state.waiters.isEmpty()) {
                needs.add(state.quota.need(waitingByPriority(state), now));
            }
        });
        return needs;
    }

    private void sharesReceived(QuotaShares reply, Throwable failure, long sentMillis, long lastIncludedWaiter) {
        long now = clock.getAsLong();
        List<Decision> decisions = new ArrayList<>();
        synchronized (this) {
            requestPending = false;
            if (failure != null) {
                LOG.debugf("gateway: Request for quota shares failed: %s", failure.getMessage());
                organisations.values().forEach(state -> state.leaderUnavailable = true);
                renewedMillis = NEVER;
            } else {
                for (QuotaShare share : reply.shares()) {
                    OrganisationState state = organisations.get(share.organisation());
                    if (state != null) {
                        state.leaderUnavailable = false;
                        state.quota.grant(share, sentMillis, reply.validMillis(), now);
                        processWaiters(state, lastIncludedWaiter, decisions, now);
                    }
                }
            }
        }
        notifyCallers(decisions);
        if (failure == null && hasWaiters()) {
            requestShares(now);
        }
    }

    private synchronized boolean hasWaiters() {
        return organisations.values().stream().anyMatch(state -> !state.waiters.isEmpty());
    }

    private static boolean isFirst(OrganisationState state, PriorityClass priority) {
        return state.waiters.isEmpty() || state.waiters.first().priority.compareTo(priority) > 0;
    }

    private static Map<PriorityClass, Integer> waitingByPriority(OrganisationState state) {
        Map<PriorityClass, Integer> waitingByPriority = new EnumMap<>(PriorityClass.class);
        state.waiters.forEach(waiter -> waitingByPriority.merge(waiter.priority, 1, Integer::sum));
        return waitingByPriority;
    }

    /**
     * Admits waiting requests in order of priority, and refuses those that cannot be admitted in time. A request that
     * was included in the leader's response is refused if its token comes too late; any request is refused after the
     * maximum wait.
     */
    private static void processWaiters(
            OrganisationState state, long lastIncludedWaiter, List<Decision> decisions, long now) {
        long overtaken = 0;
        while (!state.waiters.isEmpty() && state.quota.tryAcquire(state.waiters.first().priority, now)) {
            Waiter first = state.waiters.pollFirst();
            overtaken += first.sequence > lastIncludedWaiter ? 1 : 0;
            decisions.add(new Decision(first.callback, null));
        }
        long position = 0;
        for (var iterator = state.waiters.iterator(); iterator.hasNext(); ) {
            Waiter waiter = iterator.next();
            long nextTokenMillis = state.quota.nextTokenMillis(now) * ++position;
            // A later request of higher priority used the token granted for this one, so another token is requested.
            boolean included = waiter.sequence <= lastIncludedWaiter && overtaken-- <= 0;
            long waitedMillis = now - waiter.arrivedMillis;
            boolean tokenTooLate = included && waitedMillis + nextTokenMillis > MAX_TOKEN_WAIT_MILLIS;
            if (tokenTooLate || waitedMillis >= MAX_WAIT_MILLIS) {
                iterator.remove();
                decisions.add(new Decision(waiter.callback, refusal(state, included, position, now)));
            }
        }
    }

    /**
     * Returns the refusal with its retry delay. RATE_LIMITED would be wrong if the leader has not responded, because
     * the rate may not be used up.
     */
    private static GatewayRefusal refusal(OrganisationState state, boolean included, long position, long now) {
        if (state.leaderUnavailable && !included) {
            return GatewayRefusal.of(RefusalReason.RATE_GRANT_UNAVAILABLE);
        }
        return new GatewayRefusal(RefusalReason.RATE_LIMITED, state.quota.retryAfterMillis(state.rate, now) * position);
    }

    private static void notifyCallers(List<Decision> decisions) {
        decisions.forEach(each -> each.callback.accept(each.refusal));
    }
}
