package org.cicadahead.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointState;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndpointsDelta;
import org.junit.jupiter.api.Test;

/**
 * Guards against entries that lose live endpoints or keep removed ones when the leader changes or pauses, and against
 * drain requests that are lost or that apply to a later generation of the daemon.
 */
class EndpointTableTest {
    @Test
    void newLeaderOnlyAddsUntilTheTimeoutHasPassed() {
        EndpointTable table = new EndpointTable(7, 10_000);
        table.announce(10_100, Samples.endpoint("e1", 1, EndpointState.READY), null);
        EndpointsDelta early = table.since(6, 99).get();
        assertThat(early.full()).isFalse();
        assertThat(early.removed()).isEmpty();
        assertThat(early.announced()).hasSize(1);
        table.advance(11_000);
        table.announce(11_900, Samples.endpoint("e1", 1, EndpointState.READY), null);
        table.advance(11_999);
        assertThat(table.since(7, early.version())).isEmpty();
        table.advance(12_000);
        EndpointsDelta complete = table.since(7, early.version()).get();
        assertThat(complete.full()).isTrue();
        assertThat(complete.announced()).hasSize(1);
        assertThat(table.since(7, complete.version())).isEmpty();
    }

    @Test
    void silentEndpointIsRemovedAndItsAbsenceMeasured() {
        EndpointTable table = tableWithEndpoint();
        long version = table.since(0, 0).get().version();
        advance(table, 10_000, 12_000);
        assertThat(table.generation(Samples.E1)).hasValue(1L);
        advance(table, 12_000, 12_001);
        assertThat(table.since(1, version).get().removed()).containsExactly(Samples.E1);
        assertThat(table.absentMillis(17_000, Samples.E1)).isEqualTo(4_999);
        assertThat(table.absentMillis(17_000, EndpointId.of("never"))).isEqualTo(15_000);
        table.announce(17_000, Samples.endpoint("e1", 2, EndpointState.READY), null);
        assertThat(table.absentMillis(17_000, Samples.E1)).isEqualTo(0);
        EndpointsDelta back = table.since(1, version).get();
        assertThat(back.removed()).isEmpty();
        assertThat(back.announced()).hasSize(1);
    }

    @Test
    void olderGenerationIsIgnoredAndDrainEndsWithTheNextOne() {
        EndpointTable table = tableWithEndpoint();
        table.announce(10_100, Samples.endpoint("e1", 5, EndpointState.READY), null);
        assertThat(table.announce(10_100, Samples.endpoint("e1", 4, EndpointState.LEAVING), null))
                .isFalse();
        assertThat(table.list().get(0).announcement().state()).isEqualTo(EndpointState.READY);
        assertThat(table.drain(Samples.E1)).isTrue();
        assertThat(table.drain(EndpointId.of("never"))).isFalse();
        assertThat(table.announce(10_200, Samples.endpoint("e1", 5, EndpointState.READY), null))
                .isTrue();
        assertThat(table.announce(10_300, Samples.endpoint("e1", 6, EndpointState.READY), null))
                .isFalse();
    }

    @Test
    void drainEndsWithTheNextGenerationAlsoAfterAnAbsence() {
        // Formerly a daemon was asked to drain forever if the table had removed it before its next generation reported.
        EndpointTable table = tableWithEndpoint();
        table.announce(10_100, Samples.endpoint("e1", 5, EndpointState.READY), null);
        table.drain(Samples.E1);
        advance(table, 10_100, 13_000);
        assertThat(table.generation(Samples.E1)).isEmpty();
        assertThat(table.announce(13_100, Samples.endpoint("e1", 6, EndpointState.READY), null))
                .isFalse();
    }

    @Test
    void drainOutlastsAnAbsenceOfTheSameGeneration() {
        EndpointTable table = tableWithEndpoint();
        table.announce(10_100, Samples.endpoint("e1", 5, EndpointState.READY), null);
        table.drain(Samples.E1);
        advance(table, 10_100, 13_000);
        assertThat(table.announce(13_100, Samples.endpoint("e1", 5, EndpointState.READY), null))
                .isTrue();
    }

    @Test
    void pausedLeaderDoesNotRemoveEndpointsItCouldNotHear() {
        EndpointTable table = tableWithEndpoint();
        table.advance(30_000);
        assertThat(table.generation(Samples.E1)).hasValue(1L);
        advance(table, 30_000, 32_001);
        assertThat(table.generation(Samples.E1)).isEmpty();
    }

    /**
     * Checks that a receiver that syncs at random times, across leader changes, has all endpoints of the leader, and
     * that it removes them once they time out.
     */
    @Property(tries = 200)
    void receiverHasTheEndpointsOfTheLeader(@ForAll long seed) {
        Random random = new Random(seed);
        Map<EndpointId, Announcement> receiver = new HashMap<>();
        EndpointTable table = new EndpointTable(1, 0);
        long epoch = 0;
        long version = 0;
        long now = 0;
        for (int i = 0; i < 600; i++) {
            now += random.nextInt(150);
            if (random.nextInt(200) == 0) {
                table = new EndpointTable(2 + i, now);
            }
            EndpointState state = random.nextInt(9) == 0 ? EndpointState.LEAVING : EndpointState.READY;
            table.announce(now, Samples.endpoint("e" + random.nextInt(12), 1, state), null);
            table.advance(now);
            if (random.nextInt(3) == 0 || i == 599) {
                Optional<EndpointsDelta> delta = table.since(epoch, version);
                if (delta.isPresent()) {
                    apply(receiver, delta.get());
                    epoch = delta.get().epoch();
                    version = delta.get().version();
                }
                Map<EndpointId, Announcement> leader = new HashMap<>();
                table.list().forEach(l -> leader.put(l.announcement().endpoint(), l.announcement()));
                assertThat(receiver).containsAtLeastEntriesIn(leader);
            }
        }
        advance(table, now, now + 5_000);
        apply(receiver, table.since(epoch, version).get());
        assertThat(receiver).isEmpty();
    }

    private static void apply(Map<EndpointId, Announcement> receiver, EndpointsDelta delta) {
        if (delta.full()) {
            receiver.clear();
        }
        delta.removed().forEach(receiver::remove);
        delta.announced().forEach(a -> receiver.put(a.endpoint(), a));
    }

    private static EndpointTable tableWithEndpoint() {
        EndpointTable table = new EndpointTable(1, 0);
        advance(table, 0, 9_500);
        table.announce(10_000, Samples.endpoint("e1", 1, EndpointState.READY), null);
        return table;
    }

    private static void advance(EndpointTable table, long from, long to) {
        for (long now = from; now < to; now += 500) {
            table.advance(now);
        }
        table.advance(to);
    }
}
