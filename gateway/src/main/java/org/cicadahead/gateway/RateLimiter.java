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
 * Admits requests against the entry's shares of the rates. Safe for use by several threads; decisions are told outside
 * its lock.
 */
final class RateLimiter {
    /** How often shares are renewed, in milliseconds; a fifth of the lease, so that some answers may be lost. */
    static final long RENEW_MILLIS = 1_000;
    /** The least time between two asks, in milliseconds: about a round trip. */
    static final long ASK_GAP_MILLIS = 3;
    /**
     * How long a request may wait for an answer of the leader, in milliseconds: longer than most elections. The leader
     * answers within a few milliseconds, and a request beyond the rate is refused with its answer.
     */
    static final long WAIT_MILLIS = 450;

    /** A time before any other, in milliseconds. */
    private static final long NEVER = Long.MIN_VALUE / 2;
    /** How long a request may wait for its turn at the rate after the leader has answered, in milliseconds. */
    static final long TURN_MILLIS = 150;
    /** Below the number of any waiter. */
    private static final long NOT_ASKED = 0;

    private static final Logger LOG = Logger.getLogger("cicadahead.gateway");

    private final String entry;
    private final HubLeader leader;
    private final LongSupplier clock;
    private final Map<String, Shares> organisations = new HashMap<>();
    private long askedMillis = NEVER;
    private long renewedMillis = NEVER;
    private boolean asking;
    private boolean siteChanged;
    private long lastWaiter;

    /** The leader of the hubs as the gate asks it. */
    interface HubLeader {
        CompletableFuture<QuotaShares> ask(RequestQuota ask);
    }

    private record Waiter(PriorityClass priority, long number, Consumer<GatewayRefusal> decision, long arrivedMillis)
            implements Comparable<Waiter> {
        @Override
        public int compareTo(Waiter other) {
            int order = priority.compareTo(other.priority);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    private record Decided(Consumer<GatewayRefusal> decision, GatewayRefusal refusal) {}

    /** What is known of one organisation. */
    private static final class Shares {
        private final LocalQuota quota;
        private final TreeSet<Waiter> waiters = new TreeSet<>();
        private double rate;
        private boolean leaderMissing;

        Shares(LocalQuota quota) {
            this.quota = quota;
        }
    }

    RateLimiter(String entry, HubLeader leader, LongSupplier clock) {
        this.entry = entry;
        this.leader = leader;
        this.clock = clock;
    }

    /** Decides on a request; the decision is null if it is admitted. */
    void admit(SiteOrganisation organisation, PriorityClass priority, Consumer<GatewayRefusal> decision) {
        if (organisation == null || !organisation.limited()) {
            decision.accept(null);
            return;
        }
        long now = clock.getAsLong();
        boolean admitted;
        synchronized (this) {
            Shares shares = organisations.computeIfAbsent(
                    organisation.name(), name -> new Shares(LocalQuota.create(name, now)));
            shares.rate = organisation.ratePerSecond();
            shares.quota.arrived(now);
            admitted = isNext(shares, priority) && shares.quota.tryTake(priority, now);
            if (!admitted) {
                shares.waiters.add(new Waiter(priority, ++lastWaiter, decision, now));
            }
        }
        if (admitted) {
            decision.accept(null);
        } else {
            ask(now);
        }
    }

    /** Takes back what a request was admitted with that did not run. */
    void giveBack(SiteOrganisation organisation) {
        if (organisation != null && organisation.limited()) {
            synchronized (this) {
                Shares shares = organisations.get(organisation.name());
                if (shares != null) {
                    shares.quota.giveBack(clock.getAsLong());
                }
            }
        }
    }

    /** Follows a change of the configuration: a lower rate holds at once, the rest is for the leader to say. */
    void configured(SiteConfiguration site) {
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

    /** Lets time pass; called every few tens of milliseconds. */
    void tick() {
        long now = clock.getAsLong();
        List<Decided> decided = new ArrayList<>();
        boolean due;
        synchronized (this) {
            organisations.values().forEach(shares -> drain(shares, NOT_ASKED, decided, now));
            organisations.values().removeIf(shares -> shares.waiters.isEmpty() && shares.quota.isIdle(now));
            due = !organisations.isEmpty()
                    && (now - renewedMillis >= RENEW_MILLIS
                            || siteChanged
                            || organisations.values().stream().anyMatch(shares -> !shares.waiters.isEmpty()));
        }
        tell(decided);
        if (due) {
            ask(now);
        }
    }

    private void ask(long now) {
        RequestQuota ask;
        long asked;
        synchronized (this) {
            if (asking || now - askedMillis < ASK_GAP_MILLIS) {
                return;
            }
            asking = true;
            asked = lastWaiter;
            askedMillis = now;
            ask = new RequestQuota(entry, needs(now));
        }
        leader.ask(ask).whenComplete((reply, failure) -> answered(reply, failure, now, asked));
    }

    /**
     * Returns the lines of an ask: all organisations when shares are to be renewed, otherwise only those that have
     * requests waiting, as an ask of all with each waiting request would fill links and the leader's processor.
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
                needs.add(shares.quota.need(urgent(shares), now));
            }
        });
        return needs;
    }

    private void answered(QuotaShares reply, Throwable failure, long sentMillis, long askedWaiter) {
        long now = clock.getAsLong();
        List<Decided> decided = new ArrayList<>();
        synchronized (this) {
            asking = false;
            if (failure != null) {
                LOG.debugf("gateway: No shares of rates: %s", failure.getMessage());
                organisations.values().forEach(shares -> shares.leaderMissing = true);
                renewedMillis = NEVER;
            } else {
                for (QuotaShare share : reply.shares()) {
                    Shares shares = organisations.get(share.organisation());
                    if (shares != null) {
                        shares.leaderMissing = false;
                        shares.quota.grant(share, sentMillis, reply.validMillis(), now);
                        drain(shares, askedWaiter, decided, now);
                    }
                }
            }
        }
        tell(decided);
        if (failure == null && isWaitedFor()) {
            ask(now);
        }
    }

    private synchronized boolean isWaitedFor() {
        return organisations.values().stream().anyMatch(shares -> !shares.waiters.isEmpty());
    }

    private static boolean isNext(Shares shares, PriorityClass priority) {
        return shares.waiters.isEmpty() || shares.waiters.first().priority.compareTo(priority) > 0;
    }

    private static Map<PriorityClass, Integer> urgent(Shares shares) {
        Map<PriorityClass, Integer> urgent = new EnumMap<>(PriorityClass.class);
        shares.waiters.forEach(waiter -> urgent.merge(waiter.priority, 1, Integer::sum));
        return urgent;
    }

    /**
     * Admits waiting requests in their order, and refuses those that cannot be admitted in time: of those that the
     * leader was asked for, the ones that it has no share for; of all, those that have waited for long.
     */
    private static void drain(Shares shares, long askedWaiter, List<Decided> decided, long now) {
        long overtaken = 0;
        while (!shares.waiters.isEmpty() && shares.quota.tryTake(shares.waiters.first().priority, now)) {
            Waiter first = shares.waiters.pollFirst();
            overtaken += first.number > askedWaiter ? 1 : 0;
            decided.add(new Decided(first.decision, null));
        }
        long position = 0;
        for (var left = shares.waiters.iterator(); left.hasNext(); ) {
            Waiter waiter = left.next();
            long turnMillis = shares.quota.turnMillis(now) * ++position;
            // What was granted for a request went to one that came later and goes before, so it is asked for again.
            boolean answered = waiter.number <= askedWaiter && overtaken-- <= 0;
            long waitedMillis = now - waiter.arrivedMillis;
            boolean tooFar = answered && waitedMillis + turnMillis > TURN_MILLIS;
            if (tooFar || waitedMillis >= WAIT_MILLIS) {
                left.remove();
                decided.add(new Decided(waiter.decision, refusal(shares, answered, position, now)));
            }
        }
    }

    /** Tells when the rate allows another request; without an answer of the leader nobody knows that it is used up. */
    private static GatewayRefusal refusal(Shares shares, boolean answered, long position, long now) {
        if (shares.leaderMissing && !answered) {
            return GatewayRefusal.of(RefusalReason.RATE_GRANT_UNAVAILABLE);
        }
        return new GatewayRefusal(
                RefusalReason.RATE_LIMITED, shares.quota.retryAfterMillis(shares.rate, now) * position);
    }

    private static void tell(List<Decided> decided) {
        decided.forEach(each -> each.decision.accept(each.refusal));
    }
}
