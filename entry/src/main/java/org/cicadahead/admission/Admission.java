package org.cicadahead.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cicadahead.model.Organisation;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantReply;

/**
 * Admits requests against the rate grants that the control leader issues to this entry.
 *
 * <p>Its owner sends the lines of each {@link #nextBatch(long)} to the leader and passes the reply back together with
 * the time at which the batch was sent. Not thread-safe. Instances come from {@link #create()}.
 */
public final class Admission {
    /** How long a request waits for a grant, in milliseconds. */
    public static final long WAIT_MILLIS = 1_500;
    /** How long a request waits for a grant during a leader failover, in milliseconds. */
    public static final long FAILOVER_WAIT_MILLIS = 3_000;

    /** Minimum delay in milliseconds before requests are asked for again after a batch without a grant or a reply. */
    static final long MIN_BATCH_INTERVAL_MILLIS = 20;
    /**
     * How long a closed grant is kept after its expiry, in milliseconds. After that, its use need not be reported any
     * longer, as the leader counts an unreported grant as spent.
     */
    static final long CLOSED_GRANT_RETENTION_MILLIS = 5_000;

    private final Map<OrganisationId, OrganisationQueue> queues = new HashMap<>();
    private final Map<OrganisationId, Long> retryAtMillis = new HashMap<>();
    private long nextTicket;

    private Admission() {}

    /**
     * Returns an instance without grants and waiting requests.
     *
     * @return the instance
     */
    public static Admission create() {
        return new Admission();
    }

    /**
     * Requests admission of a request.
     *
     * @param organisation the organisation; its rate limits how many requests may wait
     * @param nowMillis monotonic time in milliseconds
     * @return empty if the request is admitted immediately, otherwise the ticket under which it waits
     */
    public OptionalLong request(Organisation organisation, long nowMillis) {
        OrganisationQueue queue =
                queues.computeIfAbsent(organisation.name(), name -> new OrganisationQueue(name, nowMillis));
        queue.configure(organisation);
        if (queue.tryAdmit(nowMillis)) {
            return OptionalLong.empty();
        }
        long ticket = ++nextTicket;
        queue.enqueue(ticket, nowMillis);
        return OptionalLong.of(ticket);
    }

    /**
     * Withdraws a waiting request.
     *
     * @param organisation the organisation
     * @param ticket the ticket
     * @return true if it was still waiting
     */
    public boolean cancel(OrganisationId organisation, long ticket) {
        OrganisationQueue queue = queues.get(organisation);
        return queue != null && queue.cancel(ticket);
    }

    /**
     * Returns the next batch to send to the leader. The organisations in it are left out of further batches until
     * {@link #applyReply} or {@link #handleMissingReply} is called.
     *
     * @param nowMillis monotonic time in milliseconds, from which the validity of the grants is measured
     * @return the lines; empty if there is nothing to request or to report
     */
    public List<GrantLine> nextBatch(long nowMillis) {
        List<GrantLine> lines = new ArrayList<>();
        queues.values().removeIf(queue -> queue.isIdle(nowMillis));
        retryAtMillis.keySet().retainAll(queues.keySet());
        for (OrganisationQueue queue : queues.values()) {
            if (queue.needsLine(nowMillis)) {
                lines.add(queue.createLine(nowMillis));
            }
        }
        return lines;
    }

    /**
     * Applies the leader's reply to a batch.
     *
     * @param lines the batch
     * @param reply the reply
     * @param sentMillis monotonic time in milliseconds at which the batch was sent
     * @param nowMillis monotonic time in milliseconds
     */
    public void applyReply(List<GrantLine> lines, GrantReply reply, long sentMillis, long nowMillis) {
        Map<OrganisationId, Grant> grants = new HashMap<>();
        reply.grants().forEach(grant -> grants.put(grant.organisation(), grant));
        for (GrantLine line : lines) {
            Grant grant = grants.get(line.organisation());
            OrganisationQueue queue = queues.get(line.organisation());
            if (grant != null && line.wanted() > 0) {
                retryAtMillis.put(line.organisation(), nowMillis + grant.retryAfterMillis());
            }
            if (queue != null) {
                queue.applyReply(line, grant, sentMillis + reply.validMillis(), nowMillis);
            }
        }
    }

    /**
     * Handles a batch that received no reply. The use of grants that it reported is reported again in a later batch.
     *
     * @param lines the batch
     * @param nowMillis monotonic time in milliseconds
     */
    public void handleMissingReply(List<GrantLine> lines, long nowMillis) {
        for (GrantLine line : lines) {
            OrganisationQueue queue = queues.get(line.organisation());
            if (queue != null) {
                queue.handleMissingReply(nowMillis);
            }
        }
    }

    /**
     * Decides on waiting requests, in order of arrival within each organisation.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return the decisions on the requests that no longer wait
     */
    public List<AdmissionDecision> decide(long nowMillis) {
        List<AdmissionDecision> decided = new ArrayList<>();
        queues.forEach((organisation, queue) -> {
            long retryAfterMillis = Math.max(0, retryAtMillis.getOrDefault(organisation, nowMillis) - nowMillis);
            queue.decide(decided, retryAfterMillis, nowMillis);
        });
        return decided;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    public int waiting() {
        return queues.values().stream().mapToInt(OrganisationQueue::waiting).sum();
    }
}
