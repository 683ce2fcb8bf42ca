package org.cicadahead.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cicadahead.fleet.EndpointPhase;
import org.cicadahead.fleet.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Heartbeats that come late, twice, from others or through several hubs, and the choice among endpoints. */
class EndpointRegistryTest {
    private final EndpointRegistry roster = EndpointRegistry.create(1_000);
    private final PlacementPolicy choice = PlacementPolicy.over(roster);

    private static EndpointRecord heartbeat(String id, long born, long sequence, String address, EndpointPhase phase) {
        return new EndpointRecord(id, born, sequence, "s", address, "z1", 4, phase, 0);
    }

    private static EndpointRecord ready(String id, long sequence) {
        return heartbeat(id, 0, sequence, id + ":1", EndpointPhase.READY);
    }

    private String choose(String session, Set<String> excluded, long now) {
        KnownEndpoint chosen = choice.choose(new PlacementRequest("s", session, "z1", excluded), now);
        return chosen == null ? null : chosen.record().id();
    }

    /** Guards against a late heartbeat that revives an endpoint that leaves. */
    @Test
    void aLateHeartbeatDoesNotEndADrain() {
        roster.heard(ready("a", 1), 0);
        roster.heard(heartbeat("a", 0, 3, "a:1", EndpointPhase.DRAINING), 10);
        assertThat(roster.heard(ready("a", 2), 20)).isFalse();
        assertThat(roster.heard(ready("a", 4), 30)).isFalse();
        assertThat(choose("", Set.of(), 40)).isNull();
    }

    /** Guards against requests to an endpoint that has left, told without its birth or address. */
    @Test
    void aDepartureWithoutDetailsHolds() {
        roster.heard(heartbeat("a", 77, 5, "a:1", EndpointPhase.READY), 0);
        assertThat(roster.heard(new EndpointRecord("a", 0, 0, "", "", "", 0, EndpointPhase.GONE, 0), 10))
                .isTrue();
        assertThat(choose("", Set.of(), 20)).isNull();
    }

    /** Guards against a new incarnation under an old id that is taken for the one that left. */
    @Test
    void aLaterBirthBeginsAnew() {
        roster.heard(heartbeat("a", 100, 9, "a:1", EndpointPhase.GONE), 0);
        assertThat(roster.heard(heartbeat("a", 200, 1, "a:1", EndpointPhase.READY), 10))
                .isTrue();
        assertThat(choose("", Set.of(), 20)).isEqualTo("a");
        assertThat(roster.heard(heartbeat("a", 100, 10, "a:1", EndpointPhase.DRAINING), 30))
                .isFalse();
        assertThat(choose("", Set.of(), 40)).isEqualTo("a");
    }

    /** Guards against a delayed heartbeat of a crashed endpoint whose address another incarnation has by now. */
    @Test
    void aYoungerIncarnationTakesOverItsAddress() {
        roster.heard(heartbeat("old", 100, 1, "x:1", EndpointPhase.READY), 0);
        roster.heard(heartbeat("new", 200, 1, "x:1", EndpointPhase.READY), 10);
        assertThat(choose("", Set.of(), 20)).isEqualTo("new");
        assertThat(choose("", Set.of("new"), 20)).isNull();
        EndpointRegistry fresh = EndpointRegistry.create(1_000);
        fresh.heard(heartbeat("new", 200, 1, "x:1", EndpointPhase.READY), 0);
        assertThat(fresh.heard(heartbeat("old", 100, 2, "x:1", EndpointPhase.READY), 10))
                .isFalse();
    }

    /** Guards against requests to silent endpoints while others are heard, and against refusals while none is. */
    @Test
    void silentEndpointsAreTheLastChoice() {
        roster.heard(ready("a", 1), 0);
        roster.heard(ready("b", 1), 0);
        roster.alive("b", 4_500);
        for (int i = 0; i < 20; i++) {
            assertThat(choose("session" + i, Set.of(), 5_000)).isEqualTo("b");
        }
        assertThat(choose("", Set.of("b"), 5_000)).isEqualTo("a");
    }

    /** Guards against more requests to an endpoint that has just failed, and against leaving it out for good. */
    @Test
    void aFailureLeavesAnEndpointOutForAWhile() {
        roster.heard(ready("a", 1), 0);
        roster.heard(ready("b", 1), 0);
        roster.find("a").failed(100);
        for (int i = 0; i < 20; i++) {
            assertThat(choose("session" + i, Set.of(), 150)).isEqualTo("b");
        }
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            seen.add(choose("session" + i, Set.of(), 100 + KnownEndpoint.EJECT_MILLIS));
        }
        assertThat(seen).containsExactly("a", "b");
    }

    /** Guards against entries of one zone that spread a session over engines, and against engines that stay idle. */
    @Test
    void sessionsStayWithTheirEngineUntilItIsBusier() {
        for (String id : List.of("a", "b", "c")) {
            roster.heard(ready(id, 1), 0);
        }
        String home = choose("session", Set.of(), 10);
        assertThat(choose("session", Set.of(), 10)).isEqualTo(home);
        roster.find(home).begun();
        roster.find(home).begun();
        assertThat(choose("session", Set.of(), 10)).isNotEqualTo(home);
    }

    /** Guards against requests that go across zones while the own zone has room. */
    @Test
    void prefersTheOwnZone() {
        roster.heard(new EndpointRecord("far", 0, 1, "s", "far:1", "z2", 4, EndpointPhase.READY, 0), 0);
        roster.heard(ready("near", 1), 0);
        for (int i = 0; i < 20; i++) {
            assertThat(choose("session" + i, Set.of(), 10)).isEqualTo("near");
        }
        for (int i = 0; i < 4; i++) {
            roster.find("near").begun();
        }
        assertThat(choose("session", Set.of(), 10)).isEqualTo("far");
    }

    /** Guards against requests that go on to an endpoint that has turned slow, and against never trying it again. */
    @Test
    void aSlowEndpointIsAvoidedForAWhile() {
        roster.heard(ready("slow", 1), 0);
        roster.heard(ready("fast", 1), 0);
        for (int i = 0; i < 10; i++) {
            roster.find("slow").paced(5, 100);
            roster.find("fast").paced(0.9, 100);
        }
        for (int i = 0; i < 20; i++) {
            assertThat(choose("session" + i, Set.of(), 110)).isEqualTo("fast");
        }
        roster.alive("slow", 10_000);
        roster.alive("fast", 10_000);
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            seen.add(choose("session" + i, Set.of(), 12_000));
        }
        assertThat(seen).containsExactly("slow", "fast");
    }
}
