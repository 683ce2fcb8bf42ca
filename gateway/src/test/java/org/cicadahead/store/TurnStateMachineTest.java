package org.cicadahead.store;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.Set;
import org.cicadahead.fleet.OpenTurn;
import org.cicadahead.fleet.TurnOpened;
import org.cicadahead.replication.StateSnapshot;
import org.junit.jupiter.api.Test;

/** Tests that a store that starts from a snapshot gives the same answers as one that has applied the whole log. */
class TurnStateMachineTest {
    private static final int STREAM_COUNT_BYTES = Integer.BYTES;

    private static OpenTurn open(String attempt, String version, String resumed) {
        return new OpenTurn(attempt, "o", "p", 1_000, 10, "", null, 60_000, false, version, resumed);
    }

    private static Set<String> resumedVersions(TurnStateMachine machine) throws IOException {
        return ((TurnOpened) machine.apply(9, 9, open("b", null, "a"))).resumedVersions();
    }

    private static byte[] snapshot(TurnStateMachine machine) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (StateSnapshot snapshot = machine.prepareSnapshot()) {
            snapshot.write(out);
        }
        return out.toByteArray();
    }

    /** A leader that has lost the version of a stream would refuse to resume it, or resume it at any version. */
    @Test
    void aSnapshotHoldsTheVersionsOfStreams() throws IOException {
        TurnStateMachine machine = new TurnStateMachine();
        machine.apply(1, 1, open("a", "v1", ""));
        TurnStateMachine restored = new TurnStateMachine();
        restored.restore(new ByteArrayInputStream(snapshot(machine)));
        assertThat(resumedVersions(machine)).containsExactly("v1");
        assertThat(resumedVersions(restored)).containsExactly("v1");
    }

    /** A store that is updated must be able to start from the snapshot of its earlier release. */
    @Test
    void readsASnapshotOfAnEarlierReleaseWithoutStreams() throws IOException {
        TurnStateMachine machine = new TurnStateMachine();
        machine.apply(1, 1, open("a", null, ""));
        byte[] current = snapshot(machine);
        TurnStateMachine restored = new TurnStateMachine();
        restored.restore(new ByteArrayInputStream(Arrays.copyOf(current, current.length - STREAM_COUNT_BYTES)));
        assertThat(restored.budgets()).isEqualTo(1);
        assertThat(resumedVersions(restored)).isEmpty();
    }
}
