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
 * Admits requests against the entry's quota shares of the organisations' rates. Thread-safe; callbacks run outside its
 * lock.
 */
final class RateLimiter {
    /** The interval at which shares are renewed, in milliseconds; a fifth of the lease, to tolerate lost responses. */
    static final long RENEW_MILLIS = 1_000;
    /** The minimum time between two requests for shares, in milliseconds: about one round trip. */
    static final long MIN_REQUEST_INTERVAL_MILLIS = 3;
    /**
     * The maximum time that a request waits for a response of the leader, in milliseconds; outlasts most elections. The
     * leader usually responds within a few milliseconds, and a request over the rate is refused on its response.
     */
    static final long MAX_WAIT_MILLIS = 450;

    /** A time before all others, in milliseconds. */
    private static final long NEVER = Long.MIN_VALUE / 2;
    /** The maximum wait for a token once the leader has responded, in milliseconds. */
    static final long MAX_TOKEN_WAIT_MILLIS = 150;
    /** A number below that of any waiter. */
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
    private long lastWaiter;

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
            OrganisationState shares = organisations.computeIfAbsent(
                    organisation.name(), name -> new OrganisationState(LocalQuota.create(name, now)));
            shares.rate = organisation.ratePerSecond();
            shares.quota.recordArrival(now);
            admitted = isFirst(shares, priority) && shares.quota.tryAcquire(priority, now);
            if (!admitted) {
                shares.waiters.add(new Waiter(priority, ++lastWaiter, callback, now));
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
                OrganisationState shares = organisations.get(organisation.name());
                if (shares != null) {
                    shares.quota.refund(clock.getAsLong());
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
            organisations.forEach((name, shares) -> {
                SiteOrganisation limit = limits.get(name);
                if (limit != null && limit.limited() && shares.rate > 0) {
                    shares.quota.scale(limit.ratePerSecond() / shares.rate, now);
                    shares.rate = limit.ratePerSecond();
                }
            });
            siteChanged = true;
        }
    }

    /** Processes the waiting requests and renews shares; called every few tens of milliseconds. */
    void tick() {
        long now = clock.getAsLong();
        List<Decision> decisions = new ArrayList<>();
        boolean due;
        synchronized (this) {
            organisations.values().forEach(shares -> processWaiters(shares, NO_WAITER, decisions, now));
            organisations.values().removeIf(shares -> shares.waiters.isEmpty() && shares.quota.isIdle(now));
            due = !organisations.isEmpty()
                    && (now - renewedMillis >= RENEW_MILLIS
                            || siteChanged
                            || organisations.values().stream().anyMatch(shares -> !shares.waiters.isEmpty()));
        }
        notifyCallers(decisions);
        if (due) {
            requestShares(now);
        }
    }

    private void requestShares(long now) {
        RequestQuota request;
        long lastIncluded;
        synchronized (this) {
            if (requestPending || now - requestedMillis < MIN_REQUEST_INTERVAL_MILLIS) {
                return;
            }
            requestPending = true;
            lastIncluded = lastWaiter;
            requestedMillis = now;
            request = new RequestQuota(entry, needs(now));
        }
        leader.requestShares(request)
                .whenComplete((reply, failure) -> sharesReceived(reply, failure, now, lastIncluded));
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
        organisations.values().forEach(shares -> {
            if (all || !shares.waiters.isEmpty()) {
                needs.add(shares.quota.need(waitingByPriority(shares), now));
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
                organisations.values().forEach(shares -> shares.leaderUnavailable = true);
                renewedMillis = NEVER;
            } else {
                for (QuotaShare share : reply.shares()) {
                    OrganisationState shares = organisations.get(share.organisation());
                    if (shares != null) {
                        shares.leaderUnavailable = false;
                        shares.quota.grant(share, sentMillis, reply.validMillis(), now);
                        processWaiters(shares, lastIncludedWaiter, decisions, now);
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
        return organisations.values().stream().anyMatch(shares -> !shares.waiters.isEmpty());
    }

    private static boolean isFirst(OrganisationState shares, PriorityClass priority) {
        return shares.waiters.isEmpty() || shares.waiters.first().priority.compareTo(priority) > 0;
    }

    private static Map<PriorityClass, Integer> waitingByPriority(OrganisationState shares) {
        Map<PriorityClass, Integer> waitingByPriority = new EnumMap<>(PriorityClass.class);
        shares.waiters.forEach(waiter -> waitingByPriority.merge(waiter.priority, 1, Integer::sum));
        return waitingByPriority;
    }

    /**
     * Admits waiting requests in order of priority, and refuses those that cannot be admitted in time. A request that
     * was included in the leader's response is refused if its token comes too late; any request is refused after the
     * maximum wait.
     */
    private static void processWaiters(
            OrganisationState shares, long lastIncludedWaiter, List<Decision> decisions, long now) {
        long overtaken = 0;
        while (!shares.waiters.isEmpty() && shares.quota.tryAcquire(shares.waiters.first().priority, now)) {
            Waiter first = shares.waiters.pollFirst();
            overtaken += first.sequence > lastIncludedWaiter ? 1 : 0;
            decisions.add(new Decision(first.callback, null));
        }
        long position = 0;
        for (var remaining = shares.waiters.iterator(); remaining.hasNext(); ) {
            Waiter waiter = remaining.next();
            long nextTokenMillis = shares.quota.nextTokenMillis(now) * ++position;
            // A token granted for this request went to a later one of higher priority, so request another.
            boolean included = waiter.sequence <= lastIncludedWaiter && overtaken-- <= 0;
            long waitedMillis = now - waiter.arrivedMillis;
            boolean tokenTooLate = included && waitedMillis + nextTokenMillis > MAX_TOKEN_WAIT_MILLIS;
            if (tokenTooLate || waitedMillis >= MAX_WAIT_MILLIS) {
                remaining.remove();
                decisions.add(new Decision(waiter.callback, refusal(shares, included, position, now)));
            }
        }
    }

    /**
     * Returns the refusal with its retry delay; without a response of the leader the rate is not known to be used up.
     */
    private static GatewayRefusal refusal(OrganisationState shares, boolean included, long position, long now) {
        if (shares.leaderUnavailable && !included) {
            return GatewayRefusal.of(RefusalReason.RATE_GRANT_UNAVAILABLE);
        }
        return new GatewayRefusal(
                RefusalReason.RATE_LIMITED, shares.quota.retryAfterMillis(shares.rate, now) * position);
    }

    private static void notifyCallers(List<Decision> decisions) {
        decisions.forEach(each -> each.callback.accept(each.refusal));
    }
}
