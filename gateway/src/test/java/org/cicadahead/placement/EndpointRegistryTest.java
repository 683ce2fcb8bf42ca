package org.cicadahead.placement;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Tests late, duplicated and conflicting heartbeats, and the placement policy. */
class EndpointRegistryTest {
    private final EndpointRegistry registry = EndpointRegistry.create(1_000);
    private final PlacementPolicy policy = PlacementPolicy.over(registry);

    private static EndpointRecord heartbeat(String id, long born, long sequence, String address, EndpointPhase phase) {
        return new EndpointRecord(id, born, sequence, "s", address, "z1", 4, phase, 0, "");
    }

    private static EndpointRecord ready(String id, long sequence) {
        return heartbeat(id, 0, sequence, id + ":1", EndpointPhase.READY);
    }

    private String choose(String session, Set<String> excluded, long now) {
        KnownEndpoint chosen =
                policy.choose(new PlacementRequest("s", session, "z1", excluded, version -> true, false), now);
        return chosen == null ? null : chosen.record().id();
    }

    /** A heartbeat sent before the drain but received later must not return a draining endpoint to service. */
    @Test
    void aLateHeartbeatDoesNotEndADrain() {
        registry.applyHeartbeat(ready("a", 1), 0);
        registry.applyHeartbeat(heartbeat("a", 0, 3, "a:1", EndpointPhase.DRAINING), 10);
        assertThat(registry.applyHeartbeat(ready("a", 2), 20)).isFalse();
        assertThat(registry.applyHeartbeat(ready("a", 4), 30)).isFalse();
        assertThat(choose("", Set.of(), 40)).isNull();
    }

    /** A departure reported without start time or address must still remove the endpoint. */
    @Test
    void aDepartureWithoutDetailsHolds() {
        registry.applyHeartbeat(heartbeat("a", 77, 5, "a:1", EndpointPhase.READY), 0);
        assertThat(registry.applyHeartbeat(new EndpointRecord("a", 0, 0, "", "", "", 0, EndpointPhase.GONE, 0, ""), 10))
                .isTrue();
        assertThat(choose("", Set.of(), 20)).isNull();
    }

    /**
     * A new incarnation that reuses the id of a departed one must be accepted, and late heartbeats of the departed one
     * ignored.
     */
    @Test
    void aNewIncarnationReplacesADepartedOne() {
        registry.applyHeartbeat(heartbeat("a", 100, 9, "a:1", EndpointPhase.GONE), 0);
        assertThat(registry.applyHeartbeat(heartbeat("a", 200, 1, "a:1", EndpointPhase.READY), 10))
                .isTrue();
        assertThat(choose("", Set.of(), 20)).isEqualTo("a");
        assertThat(registry.applyHeartbeat(heartbeat("a", 100, 10, "a:1", EndpointPhase.DRAINING), 30))
                .isFalse();
        assertThat(choose("", Set.of(), 40)).isEqualTo("a");
    }

    /** A delayed heartbeat of a crashed endpoint must not displace the incarnation that now uses its address. */
    @Test
    void aLaterIncarnationTakesOverTheAddress() {
        registry.applyHeartbeat(heartbeat("old", 100, 1, "x:1", EndpointPhase.READY), 0);
        registry.applyHeartbeat(heartbeat("new", 200, 1, "x:1", EndpointPhase.READY), 10);
        assertThat(choose("", Set.of(), 20)).isEqualTo("new");
        assertThat(choose("", Set.of("new"), 20)).isNull();
        EndpointRegistry fresh = EndpointRegistry.create(1_000);
        fresh.applyHeartbeat(heartbeat("new", 200, 1, "x:1", EndpointPhase.READY), 0);
        assertThat(fresh.applyHeartbeat(heartbeat("old", 100, 2, "x:1", EndpointPhase.READY), 10))
                .isFalse();
    }

    /** Silent endpoints must not be chosen while others send heartbeats, but must be chosen when all are silent. */
    @Test
    void silentEndpointsAreTheLastChoice() {
        registry.applyHeartbeat(ready("a", 1), 0);
        registry.applyHeartbeat(ready("b", 1), 0);
        registry.refresh("b", 4_500);
        for (int i = 0; i < 20; i++) {
            assertThat(choose("session" + i, Set.of(), 5_000)).isEqualTo("b");
        }
        assertThat(choose("", Set.of("b"), 5_000)).isEqualTo("a");
    }

    /** An endpoint that failed must not be chosen while it is ejected, but must be chosen again afterwards. */
    @Test
    void aFailedEndpointIsEjectedForAWhile() {
        registry.applyHeartbeat(ready("a", 1), 0);
        registry.applyHeartbeat(ready("b", 1), 0);
        registry.find("a").recordFailure(100);
        for (int i = 0; i < 20; i++) {
            assertThat(choose("session" + i, Set.of(), 150)).isEqualTo("b");
        }
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            seen.add(choose("session" + i, Set.of(), 100 + KnownEndpoint.BASE_EJECTION_MILLIS));
        }
        assertThat(seen).containsExactly("a", "b");
    }

    /**
     * A session must stay with the engine that has its prompt cached, but move when that engine is busier than others.
     */
    @Test
    void sessionsStayWithTheirEngineUntilItIsBusier() {
        for (String id : List.of("a", "b", "c")) {
            registry.applyHeartbeat(ready(id, 1), 0);
        }
        String sessionEngine = choose("session", Set.of(), 10);
        assertThat(choose("session", Set.of(), 10)).isEqualTo(sessionEngine);
        registry.find(sessionEngine).requestStarted(0);
        registry.find(sessionEngine).requestStarted(0);
        assertThat(choose("session", Set.of(), 10)).isNotEqualTo(sessionEngine);
    }

    /** Requests must not cross zones while an endpoint of the entry's zone has free slots. */
    @Test
    void prefersTheOwnZone() {
        registry.applyHeartbeat(new EndpointRecord("far", 0, 1, "s", "far:1", "z2", 4, EndpointPhase.READY, 0, ""), 0);
        registry.applyHeartbeat(ready("near", 1), 0);
        for (int i = 0; i < 20; i++) {
            assertThat(choose("session" + i, Set.of(), 10)).isEqualTo("near");
        }
        for (int i = 0; i < 4; i++) {
            registry.find("near").requestStarted(0);
        }
        assertThat(choose("session", Set.of(), 10)).isEqualTo("far");
    }

    /**
     * A slow endpoint must be avoided, but chosen again once its latency ratio has decayed; otherwise it would get no
     * further samples.
     */
    @Test
    void aSlowEndpointIsAvoidedForAWhile() {
        registry.applyHeartbeat(ready("slow", 1), 0);
        registry.applyHeartbeat(ready("fast", 1), 0);
        for (int i = 0; i < 10; i++) {
            registry.find("slow").recordLatency(5, 100);
            registry.find("fast").recordLatency(0.9, 100);
        }
        for (int i = 0; i < 20; i++) {
            assertThat(choose("session" + i, Set.of(), 110)).isEqualTo("fast");
        }
        registry.refresh("slow", 10_000);
        registry.refresh("fast", 10_000);
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            seen.add(choose("session" + i, Set.of(), 12_000));
        }
        assertThat(seen).containsExactly("slow", "fast");
    }

    /**
     * Each endpoint must be home to about the same number of keys, or one is overloaded while others are idle. Load
     * pattern: many sessions over six engines whose ids differ in a few characters.
     */
    @Test
    void keysAreSpreadEvenlyOverTheEndpoints() {
        int keys = 6_000;
        Map<String, Integer> keysByHome = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            registry.applyHeartbeat(ready("i-7f3a91c" + i, 1), 0);
        }
        for (int i = 0; i < keys; i++) {
            keysByHome.merge(choose("session-" + i, Set.of(), 10), 1, Integer::sum);
        }
        assertThat(keysByHome).hasSize(6);
        keysByHome
                .values()
                .forEach(count -> assertThat(count).isIn(Range.closed(keys / 6 * 9 / 10, keys / 6 * 11 / 10)));
    }
}
