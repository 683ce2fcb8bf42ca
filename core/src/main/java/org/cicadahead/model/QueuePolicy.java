package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** How an endpoint's run queue weighs program latency against fairness between organisations. */
public enum QueuePolicy {
    /** Prefers short programs over all organisations, with fairness as a bound. */
    LATENCY(4.0),
    /** Weighted fair queueing over organisations first. */
    FAIR(1.0);

    private final double fairnessSlack;

    QueuePolicy(double fairnessSlack) {
        this.fairnessSlack = fairnessSlack;
    }

    /**
     * Returns the policy with a code.
     *
     * @param code the name in any case
     * @return the policy
     * @throws IllegalArgumentException if no policy has the code
     */
    @JsonCreator
    public static QueuePolicy of(String code) {
        return valueOf(code.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns the name in lower case.
     *
     * @return the code
     */
    @JsonValue
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns how many request lengths an organisation may be ahead of its fair share.
     *
     * @return the slack, at least 1
     */
    public double fairnessSlack() {
        return fairnessSlack;
    }
}
