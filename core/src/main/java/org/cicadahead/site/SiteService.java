package org.cicadahead.site;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * A service: a group of equivalent endpoints. Immutable.
 *
 * @param name its name
 * @param healthPath the path of the health check of its endpoints
 * @param maxConnections the number of connections that an endpoint accepts from all callers together; 0 if unlimited
 * @param engine the properties of its engines, or null for a plain service
 */
public record SiteService(String name, String healthPath, int maxConnections, EngineTraits engine) {

    /**
     * Validates the values.
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
