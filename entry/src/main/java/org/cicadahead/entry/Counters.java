package org.cicadahead.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.cicadahead.model.RefusalReason;

/**
 * The counters of an entry. All are registered at startup, so that the metrics include counters that are still zero.
 */
final class Counters {
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
    private final Map<RefusalReason, Counter> retries = new EnumMap<>(RefusalReason.class);
    private final Counter chunksDropped;
    private final Counter replays;

    Counters(MetricRegistry metrics) {
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(reason, metrics.counter("refusals." + reason.code()));
            retries.put(reason, metrics.counter("retries." + reason.code()));
        }
        chunksDropped = metrics.counter("entry.chunks_dropped");
        replays = metrics.counter("entry.replays");
    }

    void refused(RefusalReason reason) {
        refusals.get(reason).inc();
    }

    void retried(RefusalReason reason) {
        retries.get(reason).inc();
    }

    void chunkDropped() {
        chunksDropped.inc();
    }

    void replayed() {
        replays.inc();
    }
}
