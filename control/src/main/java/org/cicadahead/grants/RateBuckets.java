package org.cicadahead.grants;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantReply;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.protocol.GrantUse;

/**
 * The token buckets of all organisations during one leader term. Not thread-safe; the times passed in must not
 * decrease.
 *
 * <p>A new leader does not know the grants of the previous one. It therefore starts with empty buckets and, until those
 * grants have expired, counts as outstanding the maximum that the previous leader may have granted. Instances are
 * created by {@link #create(long, long)}.
 */
public final class RateBuckets {
    /** Validity of a grant at an entry, in milliseconds from when the entry sent its request. */
    public static final long VALID_MILLIS = 1_000;
    /**
     * The leader expires a grant this much later than the entry does, in milliseconds, to allow for different clock
     * rates.
     */
    public static final long MARGIN_MILLIS = 100;

    private static final long UNKNOWN_ORGANISATION_RETRY_MILLIS = 1_000;

    private final Map<OrganisationId, TokenBucket> buckets = new TreeMap<>();
    private final Map<OrganisationId, GrantCounters> countersByOrganisation = new TreeMap<>();
    private final long epoch;
    private final long startMillis;
    private long lastGrantNumber;

    private RateBuckets(long epoch, long startMillis) {
        this.epoch = epoch;
        this.startMillis = startMillis;
    }

    /**
     * Returns the buckets of a new leader.
     *
     * @param epoch the term of the leader, which makes the ids of its grants unique
     * @param nowMillis the present time in milliseconds
     * @return the buckets
     */
    public static RateBuckets create(long epoch, long nowMillis) {
        return new RateBuckets(epoch, nowMillis);
    }

    /**
     * Serves an entry: first applies the usage that it reports, then grants requests within the rates.
     *
     * @param nowMillis the present time in milliseconds
     * @param request the reported usage and the wanted requests
     * @param rates returns the rate of an organisation, or empty if the organisation does not exist
     * @return the answer, with one grant for each line
     */
    public GrantReply serve(long nowMillis, GrantRequest request, Function<OrganisationId, Optional<Rate>> rates) {
        List<Grant> grants = new ArrayList<>(request.lines().size());
        for (GrantLine line : request.lines()) {
            Optional<Rate> rate = rates.apply(line.organisation());
            if (rate.isPresent()) {
                grants.add(serve(nowMillis, request.entry(), line, rate.get()));
            } else {
                grants.add(new Grant(line.organisation(), "", 0, UNKNOWN_ORGANISATION_RETRY_MILLIS, false));
            }
        }
        return new GrantReply(VALID_MILLIS, grants);
    }

    /**
     * Returns the grant counts of each organisation since the leader took over.
     *
     * @return the counts, with the lowest share of served grant requests first
     */
    public List<OrganisationGrantStats> grantStats() {
        return countersByOrganisation.entrySet().stream()
                .map(e -> e.getValue().toStats(e.getKey()))
                .sorted(Comparator.comparingDouble(OrganisationGrantStats::servedShare)
                        .thenComparing(OrganisationGrantStats::organisation))
                .toList();
    }

    private Grant serve(long nowMillis, DaemonId entry, GrantLine line, Rate rate) {
        TokenBucket bucket = buckets.computeIfAbsent(
                line.organisation(),
                o -> new TokenBucket(rate, startMillis, startMillis + VALID_MILLIS + MARGIN_MILLIS));
        bucket.advance(nowMillis, rate);
        for (GrantUse use : line.uses()) {
            bucket.applyUse(use);
        }
        bucket.recordDemand(nowMillis, entry, line.wanted());
        if (line.wanted() <= 0) {
            return new Grant(line.organisation(), "", 0, 0, false);
        }
        GrantCounters counters = countersByOrganisation.computeIfAbsent(line.organisation(), o -> new GrantCounters());
        long requests = bucket.grantable(line.wanted());
        if (requests == 0) {
            boolean withinRate = bucket.isWithinRate();
            counters.denied(withinRate);
            return new Grant(line.organisation(), "", 0, bucket.retryAfterMillis(nowMillis), withinRate);
        }
        lastGrantNumber++;
        IssuedGrant grant = new IssuedGrant(
                epoch + "-" + lastGrantNumber, entry, requests, nowMillis + VALID_MILLIS + MARGIN_MILLIS);
        bucket.issue(grant);
        counters.granted(requests);
        return new Grant(line.organisation(), grant.id, requests, 0, false);
    }

    /** Counts the grants and denials of an organisation. */
    private static final class GrantCounters {
        private long asked;
        private long requests;
        private long deniedWithinRate;
        private long deniedOverRate;

        void granted(long count) {
            asked++;
            requests += count;
        }

        void denied(boolean withinRate) {
            asked++;
            if (withinRate) {
                deniedWithinRate++;
            } else {
                deniedOverRate++;
            }
        }

        OrganisationGrantStats toStats(OrganisationId organisation) {
            return new OrganisationGrantStats(organisation, asked, requests, deniedWithinRate, deniedOverRate);
        }
    }
}
