package org.cicadahead.site;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.cicadahead.model.KeyDigest;
import org.cicadahead.model.KeyDigests;
import org.junit.jupiter.api.Test;

/** Tests the validation of configurations and the look-up of routes and keys. */
class SiteConfigurationTest {
    private static final SiteService SERVICE = new SiteService("s", "/health", 10, null);

    private static SiteRoute route(String name, String host, String prefix, long timeout, WeightedService... to) {
        return new SiteRoute(
                name,
                host,
                prefix,
                Repetition.IDEMPOTENT,
                false,
                false,
                0,
                false,
                false,
                0,
                timeout,
                0,
                0,
                1,
                List.of(to));
    }

    private static SiteRoute route(String name, String host, String prefix) {
        return route(name, host, prefix, 1_000, new WeightedService("s", 1));
    }

    private static SiteConfiguration site(List<SiteRoute> routes, List<SiteOrganisation> organisations)
            throws SiteException {
        return SiteConfiguration.of(1, routes, List.of(SERVICE), organisations, CallerLimits.STANDARD);
    }

    private static SiteOrganisation organisation(String name, String... keys) {
        List<KeyDigest> digests = List.of(keys).stream().map(KeyDigests::of).toList();
        return new SiteOrganisation(name, digests, 10, 10, null);
    }

    private static String rejectionMessage(SiteRoute... routes) {
        return assertThrows(SiteException.class, () -> site(List.of(routes), null))
                .getMessage();
    }

    /** Guards against activating a configuration with a route to a service that does not exist. */
    @Test
    void rejectsAnUnknownService() {
        assertThat(rejectionMessage(route("r", "h", "/a/", 1_000, new WeightedService("other", 1))))
                .contains("unknown service other");
    }

    /** Guards against activating a configuration with a route that sends no requests to any service. */
    @Test
    void rejectsWeightsThatAddUpToZero() {
        assertThat(rejectionMessage(route("r", "h", "/a/", 1_000, new WeightedService("s", 0))))
                .contains("must add up to more than 0");
    }

    /** Guards against a route on which each request times out immediately. */
    @Test
    void rejectsATimeoutOfZero() {
        assertThat(rejectionMessage(route("r", "h", "/a/", 0, new WeightedService("s", 1))))
                .contains("timeout");
    }

    /** Guards against two routes that match the same requests, of which either could be chosen. */
    @Test
    void rejectsTwoRoutesWithTheSamePrefix() {
        assertThat(rejectionMessage(route("a", "h", "/a/"), route("b", "h", "/a/")))
                .contains("share h/a/");
    }

    /** Guards against a key that identifies two organisations. */
    @Test
    void rejectsASharedKey() {
        SiteException failure = assertThrows(
                SiteException.class, () -> site(List.of(), List.of(organisation("a", "k"), organisation("b", "k"))));
        assertThat(failure).hasMessageThat().contains("share a key");
    }

    /** Guards against a shorter prefix that hides a longer one, and against a match in the middle of a segment. */
    @Test
    void routesByTheLongestPrefixOfTheHost() throws SiteException {
        SiteIndex index = SiteIndex.of(site(
                List.of(route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "g", "/a/b/c/")),
                null));
        assertThat(index.route("h", "/a/b/c/d").name()).isEqualTo("long");
        assertThat(index.route("H:80", "/a/x").name()).isEqualTo("short");
        assertThat(index.route("h", "/ab/x")).isNull();
        assertThat(index.route("unknown", "/a/x")).isNull();
    }

    /** Guards against an unknown key that is resolved to an organisation. */
    @Test
    void findsOrganisationsByTheDigestOfTheirKeys() throws SiteException {
        SiteIndex index = SiteIndex.of(site(List.of(), List.of(organisation("a", "k1", "k2"))));
        assertThat(index.organisation(KeyDigests.of("k2")).name()).isEqualTo("a");
        assertThat(index.organisation(KeyDigests.of("k3"))).isNull();
        assertThat(index.needsKeys()).isTrue();
    }

    /** Guards against a split of requests that does not follow the weights of the services. */
    @Test
    void splitsByWeight() {
        SiteRoute split = route("r", "h", "/a/", 1_000, new WeightedService("s", 90), new WeightedService("t", 10));
        long first = java.util.stream.IntStream.range(0, 1_000)
                .filter(i -> split.service(i / 1_000.0).equals("s"))
                .count();
        assertThat(first).isEqualTo(900);
    }
}
