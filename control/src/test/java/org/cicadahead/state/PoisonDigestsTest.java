package org.cicadahead.state;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.cicadahead.model.EndpointId;
import org.cicadahead.protocol.ClearSuspects;
import org.cicadahead.protocol.CrashReport;
import org.cicadahead.protocol.PoisonEntry;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that crashes one engine after another because it is resent to each, and against refusing
 * requests that merely ran on an engine when it crashed.
 */
class PoisonDigestsTest {
    private final Tables tables = new Tables();

    @Test
    void digestThatRanAloneInTheCrashOfASecondEndpointIsRefused() {
        crash(Tables.E1, "i1", 1);
        assertThat(entry(1).refused()).isFalse();
        crash(Tables.E1, "i1", 1);
        crash(Tables.E1, "i2", 1);
        assertThat(entry(1).refused()).isFalse();
        crash(Tables.E2, "i3", 1);
        assertThat(entry(1).refused()).isTrue();
        assertThat(entry(1).crashed()).containsExactly(Tables.E1, Tables.E2);
        tables.apply(new ClearSuspects(List.of(Tables.digest(1))));
        assertThat(entry(1).refused()).isTrue();
    }

    @Test
    void digestsThatOnlySharedAnEndpointAreNeverRefused() {
        crash(Tables.E1, "i1", 1, 2, 3);
        crash(Tables.E2, "i2", 1, 2, 3);
        assertThat(tables.state.poison().table().entries().stream().anyMatch(PoisonEntry::refused))
                .isFalse();
        tables.apply(new ClearSuspects(List.of(Tables.digest(2))));
        assertThat(entry(2)).isNull();
        assertThat(entry(3)).isNotNull();
    }

    @Test
    void entriesExpireAndEachChangeIncreasesTheVersion() {
        long version = tables.state.poison().version();
        crash(Tables.E1, "i1", 1);
        assertThat(tables.state.poison().version()).isGreaterThan(version);
        version = tables.state.poison().version();
        crash(Tables.E1, "i1", 1);
        assertThat(tables.state.poison().version()).isEqualTo(version);
        tables.now += PoisonDigests.ENTRY_RETENTION_MILLIS - 1;
        tables.apply(new ClearSuspects(List.of()));
        assertThat(entry(1)).isNotNull();
        tables.now++;
        assertThat(tables.state.hasExpired(tables.now)).isTrue();
        tables.apply(new ClearSuspects(List.of()));
        assertThat(entry(1)).isNull();
        assertThat(tables.state.poison().version()).isGreaterThan(version);
        crash(Tables.E1, "i1", 1);
        assertThat(entry(1)).isNull();
    }

    private void crash(EndpointId endpoint, String instance, int... digests) {
        assertThat(tables.submit(new CrashReport(
                        endpoint,
                        instance,
                        IntStream.of(digests).mapToObj(Tables::digest).toList())))
                .isTrue();
    }

    private PoisonEntry entry(int digest) {
        return tables.state.poison().table().entries().stream()
                .filter(e -> e.digest().equals(Tables.digest(digest)))
                .findFirst()
                .orElse(null);
    }
}
