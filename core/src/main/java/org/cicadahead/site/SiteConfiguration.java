package org.cicadahead.site;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cicadahead.model.KeyDigest;

/**
 * A complete configuration with one version number. Immutable.
 *
 * <p>Create instances with {@link #of}, which validates them; the constructor does not. The configuration with the
 * highest version is active.
 *
 * @param version its number
 * @param routes the routes
 * @param services the services
 * @param organisations the organisations; null if requests need no keys
 * @param limits the bounds on what callers send
 */
public record SiteConfiguration(
        long version,
        List<SiteRoute> routes,
        List<SiteService> services,
        List<SiteOrganisation> organisations,
        CallerLimits limits) {

    /**
     * Makes immutable copies of the lists.
     *
     * @throws NullPointerException if the routes, the services or the limits are null
     */
    public SiteConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        organisations = organisations == null ? null : List.copyOf(organisations);
        Objects.requireNonNull(limits, "The limits must not be null");
    }

    /**
     * Returns a configuration after validating it as a whole.
     *
     * @param version its number
     * @param routes the routes
     * @param services the services
     * @param organisations the organisations; null if requests need no keys
     * @param limits the bounds on what callers send
     * @return the configuration
     * @throws SiteException if two services or two organisations have the same name, a route has an invalid prefix,
     *     timeout or number of attempts, names an unknown service or has no positive weight, two routes have the same
     *     host and prefix, or two organisations share a key
     */
    public static SiteConfiguration of(
            long version,
            List<SiteRoute> routes,
            List<SiteService> services,
            List<SiteOrganisation> organisations,
            CallerLimits limits)
            throws SiteException {
        SiteConfiguration site = new SiteConfiguration(version, routes, services, organisations, limits);
        site.checkServices();
        site.checkRoutes();
        site.checkKeys();
        return site;
    }

    /**
     * Returns the organisations by their names.
     *
     * @return the organisations; empty if requests need no keys
     */
    public Map<String, SiteOrganisation> organisationsByName() {
        Map<String, SiteOrganisation> byName = new HashMap<>();
        if (organisations != null) {
            organisations.forEach(organisation -> byName.put(organisation.name(), organisation));
        }
        return byName;
    }

    private void checkServices() throws SiteException {
        Set<String> names = new HashSet<>();
        for (SiteService service : services) {
            if (!names.add(service.name())) {
                throw new SiteException("there are two services named " + service.name());
            }
        }
    }

    private void checkRoutes() throws SiteException {
        Set<String> knownServices = new HashSet<>();
        services.forEach(service -> knownServices.add(service.name()));
        Set<List<String>> hostsAndPrefixes = new HashSet<>();
        for (SiteRoute route : routes) {
            checkRoute(route, knownServices);
            if (!hostsAndPrefixes.add(List.of(route.host(), route.prefix()))) {
                throw new SiteException("two routes share " + route.host() + route.prefix());
            }
        }
    }

    private static void checkRoute(SiteRoute route, Set<String> knownServices) throws SiteException {
        if (!route.prefix().startsWith("/") || !route.prefix().endsWith("/")) {
            throw new SiteException("the prefix of " + route.name() + " must begin and end with a slash");
        }
        if (route.timeoutMillis() <= 0) {
            throw new SiteException("the timeout of " + route.name() + " must be positive");
        }
        if (route.maxAttempts() <= 0) {
            throw new SiteException("the attempts of " + route.name() + " must be positive");
        }
        double sum = 0;
        for (WeightedService each : route.services()) {
            if (!knownServices.contains(each.service())) {
                throw new SiteException(route.name() + " names the unknown service " + each.service());
            }
            sum += each.weight();
        }
        if (!(sum > 0)) {
            throw new SiteException("the weights of " + route.name() + " must add up to more than 0");
        }
    }

    private void checkKeys() throws SiteException {
        Set<KeyDigest> keys = new HashSet<>();
        Set<String> names = new HashSet<>();
        for (SiteOrganisation organisation : organisations == null ? List.<SiteOrganisation>of() : organisations) {
            if (!names.add(organisation.name())) {
                throw new SiteException("there are two organisations named " + organisation.name());
            }
            for (KeyDigest key : new HashSet<>(organisation.keys())) {
                if (!keys.add(key)) {
                    throw new SiteException("two organisations share a key, one is " + organisation.name());
                }
            }
        }
    }
}
