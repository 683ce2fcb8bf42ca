package org.cicadahead.site;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Objects;

/**
 * A route: which requests it takes, where they go and under what limits. Immutable.
 *
 * @param name its name
 * @param host the host that requests name
 * @param prefix the start of the paths that it takes; begins and ends with a slash
 * @param repetition what may be repeated
 * @param resumable whether a stream may be resumed at another endpoint
 * @param keepsTurns whether the answers are kept, so that a later request may continue them
 * @param retentionMillis how long turns are kept, in milliseconds
 * @param open whether requests need no key
 * @param priority its rank; 0 is the highest
 * @param timeoutMillis the longest time that a request is kept waiting, in milliseconds
 * @param targetMillis the latency objective, in milliseconds
 * @param gapTargetMillis the longest pause between events that is still on time, in milliseconds; 0 if none is set
 * @param maxAttempts to how many endpoints a request may be sent
 * @param services where its requests go
 */
public record SiteRoute(
        String name,
        String host,
        String prefix,
        Repetition repetition,
        boolean resumable,
        boolean keepsTurns,
        long retentionMillis,
        boolean open,
        int priority,
        long timeoutMillis,
        long targetMillis,
        long gapTargetMillis,
        int maxAttempts,
        List<WeightedService> services) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if a name, the repetition or the services are null
     */
    public SiteRoute {
        Objects.requireNonNull(name, "The name must not be null");
        Objects.requireNonNull(host, "The host must not be null");
        Objects.requireNonNull(prefix, "The prefix must not be null");
        Objects.requireNonNull(repetition, "The repetition must not be null");
        services = List.copyOf(services);
    }

    /**
     * Returns whether a request that may have run may be sent again.
     *
     * @return true if it may
     */
    @JsonIgnore
    public boolean mayRepeat() {
        return repetition.mayRepeat(resumable);
    }

    /**
     * Returns the service for a request.
     *
     * @param point a number from 0 (included) to 1 (excluded) that selects among the weights
     * @return the name of the service
     */
    public String service(double point) {
        double left =
                point * services.stream().mapToDouble(WeightedService::weight).sum();
        for (WeightedService each : services) {
            left -= each.weight();
            if (left < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
