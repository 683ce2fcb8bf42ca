package org.cicadahead.site;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Objects;

/**
 * A route: which requests it matches, to which services they are sent and under what limits. Immutable.
 *
 * @param name its name
 * @param host the host that requests must name
 * @param prefix the prefix of the paths that it matches; begins and ends with a slash
 * @param repetition whether requests may be retried after they may have run
 * @param resumable whether a stream may be resumed at another endpoint
 * @param keepsTurns whether turns are stored, so that a later request can continue them
 * @param retentionMillis the time for which turns are stored, in milliseconds
 * @param open whether requests need no key
 * @param sticky whether an endpoint is faster at objects and prompts that it has handled recently
 * @param priority its priority; 0 is the highest
 * @param timeoutMillis the timeout of a request, in milliseconds
 * @param targetMillis the latency objective, in milliseconds
 * @param gapTargetMillis the objective for the pause between two events of a stream, in milliseconds; 0 if none is set
 * @param maxAttempts the maximum number of endpoints to which a request is sent
 * @param services the services among which its requests are split by weight
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
        boolean sticky,
        int priority,
        long timeoutMillis,
        long targetMillis,
        long gapTargetMillis,
        int maxAttempts,
        List<WeightedService> services) {

    /**
     * Validates the values.
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
     * Returns whether a request that may already have run may be retried.
     *
     * @return true if it may
     */
    @JsonIgnore
    public boolean mayRepeat() {
        return repetition.mayRepeat(resumable);
    }

    /**
     * Returns the service for a request, chosen by weight.
     *
     * @param point a number from 0 (included) to 1 (excluded) that selects the service, for example a random number
     * @return the name of the service
     */
    public String service(double point) {
        double remaining =
                point * services.stream().mapToDouble(WeightedService::weight).sum();
        for (WeightedService each : services) {
            remaining -= each.weight();
            if (remaining < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
