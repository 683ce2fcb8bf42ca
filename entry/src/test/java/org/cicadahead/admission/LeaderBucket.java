package org.cicadahead.admission;

import java.util.HashMap;
import java.util.Map;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantUse;

/** Model of the token bucket of one organisation at the leader, as described in section 5.4 of docs/design.md. */
final class LeaderBucket {
    private static final long VALID_MILLIS = 1_000;
    private static final long MARGIN_MILLIS = 100;
    private final double rate;
    private final long burst;
    private final Map<String, OutstandingGrant> grants = new HashMap<>();
    private double level;
    private long refilledMillis;
    private long ids;

    private static final class OutstandingGrant {
        private final long requests;
        private final long untilMillis;
        private long spent;

        OutstandingGrant(long requests, long untilMillis) {
            this.requests = requests;
            this.untilMillis = untilMillis;
        }
    }

    LeaderBucket(double rate, long burst) {
        this.rate = rate;
        this.burst = burst;
        this.level = burst;
    }

    Grant grantRequests(GrantLine line, long nowMillis) {
        // Refill before the reports are applied: requests reported now were still outstanding during the refill.
        level = Math.min(level + rate * (nowMillis - refilledMillis) / 1_000, burst - outstanding());
        refilledMillis = nowMillis;
        grants.values().removeIf(grant -> nowMillis >= grant.untilMillis);
        line.uses().forEach(this::use);
        long available = Math.max(1, burst / 2) - outstanding();
        long granted = Math.max(0, Math.min(line.wanted(), Math.min((long) level, available)));
        if (granted == 0) {
            long retryAfterMillis = (long) Math.ceil(Math.max(0, 1 - level) * 1_000 / rate);
            return new Grant(line.organisation(), "", 0, retryAfterMillis, level >= 1);
        }
        level -= granted;
        String id = "g" + ++ids;
        grants.put(id, new OutstandingGrant(granted, nowMillis + VALID_MILLIS + MARGIN_MILLIS));
        return new Grant(line.organisation(), id, granted, 0, false);
    }

    private void use(GrantUse use) {
        OutstandingGrant grant = grants.get(use.grantId());
        if (grant != null) {
            grant.spent = Math.max(grant.spent, use.spent());
            if (use.closed()) {
                level += grant.requests - grant.spent;
                grants.remove(use.grantId());
            }
        }
    }

    private long outstanding() {
        return grants.values().stream()
                .mapToLong(grant -> grant.requests - grant.spent)
                .sum();
    }
}
