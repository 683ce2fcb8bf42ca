package org.cicadahead.raft;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a leader that sends entries again for every duplicate or delayed rejection of a follower. */
class LeadershipTest {
    private static final ReplicaId SELF = ReplicaId.of("0".repeat(32));
    private static final ReplicaId PEER = ReplicaId.of("1".repeat(32));
    private static final ReplicaId THIRD = ReplicaId.of("2".repeat(32));

    private final ReplicaState state = new ReplicaState(
            SELF,
            Simulation.TIMING,
            new HardState(1, SELF),
            new EntryLog(
                    new SnapshotHead(
                            0,
                            0,
                            0,
                            new Membership(List.of(
                                    new Member(SELF, "a", true),
                                    new Member(PEER, "b", true),
                                    new Member(THIRD, "c", true)))),
                    List.of()));
    private Leadership leadership;

    @BeforeEach
    void appendFiveEntries() {
        leadership = new Leadership(state, true, 0);
        for (int i = 0; i < 4; i++) {
            state.append(EntryKind.EMPTY, 0, null, null);
            leadership.broadcast(0);
        }
        state.beginOutput();
    }

    /**
     * Guards against an endless exchange of probes and rejections: a follower that has lost acknowledged entries
     * rejects every probe at the match index.
     */
    @Test
    void rejectionBelowMatchIsAnsweredOnce() {
        reply(true, 2, 0);
        int sent = 0;
        for (int i = 1; i <= 100; i++) {
            sent += reply(false, 1, i).size();
        }
        assertThat(sent).isEqualTo(1);
        assertThat(leadership.matchIndex(PEER)).isEqualTo(2);
    }

    /**
     * Guards against a leader that ignores a rejection below the match index, which a follower sends when it has lost
     * entries and skips a conflicting term. The entries after the match index must then be sent again.
     */
    @Test
    void lostEntriesAreSentAgainFromTheMatch() {
        reply(true, 2, 0);
        List<RaftMessage> sent = reply(false, 0, 1);
        assertThat(sent).hasSize(1);
        assertThat(((RaftAppend) sent.get(0)).prevIndex()).isEqualTo(2);
    }

    /** Guards against a leader that rewinds for copies of a rejection that arrive after the follower has caught up. */
    @Test
    void lateCopiesOfRejectionAreIgnored() {
        reply(false, 1, 10, 5);
        reply(true, 2, 11, 10);
        int sent = 0;
        for (int i = 12; i < 100; i++) {
            sent += reply(false, 1, i, 5).size();
        }
        assertThat(sent).isEqualTo(0);
    }

    private List<RaftMessage> reply(boolean success, long index, long nowMillis) {
        return reply(success, index, nowMillis, nowMillis);
    }

    private List<RaftMessage> reply(boolean success, long index, long nowMillis, long sentMillis) {
        state.beginOutput();
        leadership.handleReply(new RaftAppendReply(PEER, SELF, 1, success, index, sentMillis), nowMillis);
        return new ArrayList<>(state.output.messages());
    }
}
