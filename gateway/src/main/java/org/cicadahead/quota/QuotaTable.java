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
 * The shares of all organisations' rates that the leader of the hubs has granted. Not thread-safe.
 *
 * <p>At any time the leased shares add up to at most {@link #SHARED_FRACTION} of rate and burst. The rest fills a
 * reserve bucket for requests at entries without a sufficient share. In any window, all entries together therefore
 * admit at most the burst plus the rate times the length of the window, and an overdraft within the tolerance that is
 * lent to programs that have started. Each new leader creates a table with
 * {@link #create(long, QuotaTolerance)}.
 */
public final class QuotaTable {
    /**
     * The duration of the lease of a share, in milliseconds; longer than a leader change and one lost response
     * together.
     */
    public static final long LEASE_MILLIS = 5_000;

    /** The fraction of rate and burst that is leased as shares; the rest is the reserve for uneven and new demand. */
    static final double SHARED_FRACTION = 0.5;

    /**
     * The fraction of the tolerance that a new leader may grant at once. Two leader changes in one window and the
     * overdraft of the first leader stay within the tolerance, and the remainder covers requests that arrive later than
     * they were admitted.
     */
    static final double INITIAL_FRACTION = 0.3;

    private final long startMillis;
    private final QuotaTolerance tolerance;
    private final Map<String, OrganisationShares> organisations = new HashMap<>();

    private QuotaTable(long startMillis, QuotaTolerance tolerance) {
        this.startMillis = startMillis;
        this.tolerance = tolerance;
    }

    /**
     * Returns the table of a new leader.
     *
     * @param nowMillis the monotonic time at which it became leader, in milliseconds; shares granted by the previous
     *     leader may stay valid for {@link #LEASE_MILLIS} after it
     * @param tolerance how far the organisations' rates may be exceeded; a fraction of it is available at once
     * @return the table
     */
    public static QuotaTable create(long nowMillis, QuotaTolerance tolerance) {
        return new QuotaTable(nowMillis, Objects.requireNonNull(tolerance, "The tolerance must not be null"));
    }

    /**
     * Grants shares to an entry.
     *
     * @param entry the name of the entry
     * @param needs its demand and the shares it holds
     * @param limits the configured organisations, by name
     * @param nowMillis monotonic time in milliseconds
     * @return a share for each requested organisation that has a rate limit
     */
    public List<QuotaShare> grant(
            String entry, List<QuotaNeed> needs, Map<String, SiteOrganisation> limits, long nowMillis) {
        organisations.keySet().retainAll(limits.keySet());
        List<QuotaShare> shares = new ArrayList<>();
        for (QuotaNeed need : needs) {
            SiteOrganisation organisation = limits.get(need.organisation());
            if (organisation != null && organisation.limited()) {
                shares.add(organisations
                        .computeIfAbsent(
                                need.organisation(),
                                name -> new OrganisationShares(startMillis, initialReserve(organisation), tolerance))
                        .grant(entry, need, organisation, nowMillis));
            }
        }
        return shares;
    }

    private double initialReserve(SiteOrganisation organisation) {
        return INITIAL_FRACTION * tolerance.requests(organisation.ratePerSecond(), organisation.burst());
    }
}
