package org.cicadahead.site;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * A service: endpoints of one kind. Immutable.
 *
 * @param name its name
 * @param healthPath the path of its endpoints' health check
 * @param maxConnections how many connections an endpoint accepts from all callers together; 0 if not limited
 * @param engine the traits of its engines, or null for a plain service
 */
public record SiteService(String name, String healthPath, int maxConnections, EngineTraits engine) {

    /**
     * Checks the values.
     *
     * @throws NullPointerException if the name is null
     */
    public SiteService {
        Objects.requireNonNull(name, "The name must not be null");
    }

    /**
     * Returns whether its endpoints are model engines.
     *
     * @return true for engines
     */
    @JsonIgnore
    public boolean runsModels() {
        return engine != null;
    }
}
