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
 * The rate buckets of one leader. Not safe for use by several threads; times never go back.
 *
 * <p>A new leader knows nothing of the grants of the one before. It starts with empty buckets, and counts as many
 * requests as outstanding as the one before may have granted, until those grants have expired. The first use is {@link
 * #create(long, long)}.
 */
public final class RateBuckets {
    /** For how long an entry may use a grant, in milliseconds from when it sent its request. */
    public static final long VALID_MILLIS = 1_000;
    /** The leader expires a grant this much later than the entry, in milliseconds, for different clock rates. */
    public static final long MARGIN_MILLIS = 100;

    private static final long UNKNOWN_RETRY_MILLIS = 1_000;

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
     * Serves an entry: takes its reports, then grants what it may have.
     *
     * @param nowMillis the present time in milliseconds
     * @param request the request
     * @param rates gives the rate of an organisation, or empty if it does not exist
     * @return the answer, with one grant for each line
     */
    public GrantReply serve(long nowMillis, GrantRequest request, Function<OrganisationId, Optional<Rate>> rates) {
        List<Grant> grants = new ArrayList<>(request.lines().size());
        for (GrantLine line : request.lines()) {
            Optional<Rate> rate = rates.apply(line.organisation());
            if (rate.isPresent()) {
                grants.add(serve(nowMillis, request.entry(), line, rate.get()));
            } else {
                grants.add(new Grant(line.organisation(), "", 0, UNKNOWN_RETRY_MILLIS, false));
            }
        }
        return new GrantReply(VALID_MILLIS, grants);
    }

    /**
     * Returns how each organisation was served since the leader began.
     *
     * @return the organisations, the worst-served one first
     */
    public List<OrganisationGrantStats> grantStats() {
        return countersByOrganisation.entrySet().stream()
                .map(e -> e.getValue().view(e.getKey()))
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

    /** Counts how an organisation was served. */
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

        OrganisationGrantStats view(OrganisationId organisation) {
            return new OrganisationGrantStats(organisation, asked, requests, deniedWithinRate, deniedOverRate);
        }
    }
}
