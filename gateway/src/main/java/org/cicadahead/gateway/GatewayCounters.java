package org.cicadahead.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.cicadahead.model.RefusalReason;

/** The metric counters of an entry. All are registered at startup, so that unused counters report zero. */
final class GatewayCounters {
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
    private final Map<RetryReason, Counter> retries = new EnumMap<>(RetryReason.class);
    private final Counter answered;
    private final Counter streamBroken;
    private final Counter callerDisconnected;
    private final Counter affinityIgnored;

    GatewayCounters(MetricRegistry metrics) {
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(reason, metrics.counter("refusals." + reason.code()));
        }
        for (RetryReason reason : RetryReason.values()) {
            retries.put(reason, metrics.counter("retries." + reason.code()));
        }
        answered = metrics.counter("gateway.answered");
        streamBroken = metrics.counter("gateway.broken");
        callerDisconnected = metrics.counter("gateway.caller_gone");
        affinityIgnored = metrics.counter("gateway.affinity_ignored");
    }

    void refused(RefusalReason reason) {
        refusals.get(reason).inc();
    }

    void retried(RetryReason reason) {
        retries.get(reason).inc();
    }

    void answered() {
        answered.inc();
    }

    void streamBroken() {
        streamBroken.inc();
    }

    void affinityIgnored() {
        affinityIgnored.inc();
    }

    void callerDisconnected() {
        callerDisconnected.inc();
    }
}
