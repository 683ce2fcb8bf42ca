package org.cicadahead.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** How an endpoint's run queue trades program latency against fairness between organisations. */
public enum QueuePolicy {
    /** Prefers short programs of any organisation, within a bound on unfairness. */
    LATENCY(4.0),
    /** Applies weighted fair queueing between organisations first. */
    FAIR(1.0);

    private final double fairnessSlack;

    QueuePolicy(double fairnessSlack) {
        this.fairnessSlack = fairnessSlack;
    }

    /**
     * Returns the policy with the given code.
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
     * Returns by how many request lengths an organisation may exceed its fair share.
     *
     * @return the slack, at least 1
     */
    public double fairnessSlack() {
        return fairnessSlack;
    }
}
