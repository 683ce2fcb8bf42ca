package org.cicadahead.site;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import org.cicadahead.model.KeyDigest;

/**
 * A configuration with look-up tables for routes, services and keys. Immutable and thread-safe.
 *
 * <p>Create instances with {@link #of(SiteConfiguration)}.
 */
public final class SiteIndex {
    private final SiteConfiguration site;
    private final Map<String, List<SiteRoute>> routesByHost = new HashMap<>();
    private final Map<String, SiteService> services = new HashMap<>();
    private final Map<KeyDigest, SiteOrganisation> organisations = new HashMap<>();

    private SiteIndex(SiteConfiguration site) {
        this.site = site;
        for (SiteRoute route : site.routes()) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<SiteRoute> longestFirst =
                Comparator.comparingInt(route -> -route.prefix().length());
        routesByHost.values().forEach(routes -> routes.sort(longestFirst));
        site.services().forEach(service -> services.put(service.name(), service));
        if (site.organisations() != null) {
            site.organisations()
                    .forEach(organisation -> organisation.keys().forEach(key -> organisations.put(key, organisation)));
        }
    }

    /**
     * Returns the index of a configuration.
     *
     * @param site the configuration
     * @return the index
     * @throws NullPointerException if the configuration is null
     */
    public static SiteIndex of(SiteConfiguration site) {
        return new SiteIndex(Objects.requireNonNull(site, "The configuration must not be null"));
    }

    /**
     * Returns the configuration.
     *
     * @return the configuration
     */
    public SiteConfiguration site() {
        return site;
    }

    /**
     * Returns the route of a request: among the routes of the host, the one with the longest prefix that matches the
     * path.
     *
     * @param host the host of the request, with or without a port
     * @param path the path, without a query
     * @return the route, or null if there is none
     */
    public SiteRoute route(String host, String path) {
        int colon = host.lastIndexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        for (SiteRoute route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.prefix())) {
                return route;
            }
        }
        return null;
    }

    /**
     * Returns a service.
     *
     * @param name its name
     * @return the service, or null if there is none
     */
    public SiteService service(String name) {
        return services.get(name);
    }

    /**
     * Returns whether requests require a key, except on open routes.
     *
     * @return true if the configuration has organisations
     */
    public boolean needsKeys() {
        return site.organisations() != null;
    }

    /**
     * Returns the organisation that holds a key.
     *
     * @param key the digest of the key
     * @return the organisation, or null if no organisation holds it
     */
    public SiteOrganisation organisation(KeyDigest key) {
        return organisations.get(key);
    }
}
