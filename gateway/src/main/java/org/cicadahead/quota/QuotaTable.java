package org.cicadahead.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cicadahead.fleet.QuotaNeed;
import org.cicadahead.fleet.QuotaShare;
import org.cicadahead.site.SiteOrganisation;

/**
 * What the leader of the hubs has granted of the rates of all organisations. Not safe for use by several threads.
 *
 * <p>At each moment the shares under a lease add up to at most {@link #SHARED_PART} of rate and burst, the rest fills a
 * bucket for requests that come where there is no share. So what all entries together admit in any window is at most
 * the burst and the rate. The first use is {@link #create(long, QuotaTolerance)}, when a leader begins.
 */
public final class QuotaTable {
    /** How long a share holds, in milliseconds: long enough to outlast a change of the leader and one lost answer. */
    public static final long LEASE_MILLIS = 5_000;

    /** The part of rate and burst that is shared under leases; the rest serves uneven and new demand. */
    static final double SHARED_PART = 0.5;

    /**
     * The part of the tolerance that a leader has from the beginning: two changes of the leader in one window stay
     * within it, and the rest is left for requests that arrive later than they were admitted.
     */
    static final double FIRST_PART = 0.35;

    private final long beganMillis;
    private final QuotaTolerance tolerance;
    private final Map<String, OrganisationShares> organisations = new HashMap<>();

    private QuotaTable(long beganMillis, QuotaTolerance tolerance) {
        this.beganMillis = beganMillis;
        this.tolerance = tolerance;
    }

    /**
     * Returns the table of a leader.
     *
     * @param nowMillis the monotonic time at which it began, in milliseconds; shares of the leader before it may hold
     *     for {@link #LEASE_MILLIS} more
     * @param tolerance how far above their rates organisations may be served; a part of it is there from the beginning
     * @return the table
     */
    public static QuotaTable create(long nowMillis, QuotaTolerance tolerance) {
        return new QuotaTable(nowMillis, Objects.requireNonNull(tolerance, "The tolerance must not be null"));
    }

    /**
     * Grants shares to an entry.
     *
     * @param entry the name of the entry
     * @param needs what it needs and holds
     * @param limits the organisations in force, by name
     * @param nowMillis monotonic time in milliseconds
     * @return a share for each organisation that is limited
     */
    public List<QuotaShare> ask(
            String entry, List<QuotaNeed> needs, Map<String, SiteOrganisation> limits, long nowMillis) {
        organisations.keySet().retainAll(limits.keySet());
        List<QuotaShare> shares = new ArrayList<>();
        for (QuotaNeed need : needs) {
            SiteOrganisation organisation = limits.get(need.organisation());
            if (organisation != null && organisation.limited()) {
                shares.add(organisations
                        .computeIfAbsent(
                                need.organisation(), name -> new OrganisationShares(beganMillis, first(organisation)))
                        .ask(entry, need, organisation, nowMillis));
            }
        }
        return shares;
    }

    private double first(SiteOrganisation organisation) {
        return FIRST_PART * tolerance.requests(organisation.ratePerSecond(), organisation.burst());
    }
}
