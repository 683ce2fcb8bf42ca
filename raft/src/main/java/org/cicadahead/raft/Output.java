package org.cicadahead.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The actions that the caller has to perform after an event. Not thread-safe.
 *
 * <p>The writes (hard state, truncation, entries) must be performed in the order of the outputs. When the writes of
 * this output and of all earlier ones are synced, the caller sends {@link #messagesAfterSync} and calls {@link
 * Consensus#persisted} with {@link #sequence}. The {@link #messages} may be sent immediately.
 */
public final class Output {
    private final List<LogEntry> newEntries = new ArrayList<>();
    private final List<RaftMessage> messages = new ArrayList<>();
    private final List<RaftMessage> messagesAfterSync = new ArrayList<>();
    private final List<LogEntry> committed = new ArrayList<>();
    private final List<ChunkSend> chunkSends = new ArrayList<>();
    private long sequence;
    private HardState hardState;
    private long truncateFrom;
    private RaftSnapshot snapshotChunk;
    private SnapshotHead installedSnapshot;
    private String refusal;

    /**
     * A request to read a chunk of the latest snapshot and send it to a follower.
     *
     * @param to the id of the follower
     * @param head the head of the snapshot
     * @param offset the position of the chunk in bytes
     * @param term the term of the leader
     * @param sentMillis the send time to put into the message, in milliseconds
     */
    public record ChunkSend(ReplicaId to, SnapshotHead head, long offset, long term, long sentMillis) {}

    Output() {}

    /**
     * Returns the sequence number of this output.
     *
     * @return the sequence number
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns the hard state to persist.
     *
     * @return the hard state, or null if it has not changed
     */
    public HardState hardState() {
        return hardState;
    }

    /**
     * Returns the index from which entries must be removed before the new ones are written.
     *
     * @return the index, or 0 if none
     */
    public long truncateFrom() {
        return truncateFrom;
    }

    /**
     * Returns the entries to append to the persistent log.
     *
     * @return the entries, in order
     */
    public List<LogEntry> newEntries() {
        return newEntries;
    }

    /**
     * Returns the messages that may be sent immediately.
     *
     * @return the messages
     */
    public List<RaftMessage> messages() {
        return messages;
    }

    /**
     * Returns the messages to send after all writes are synced.
     *
     * @return the messages
     */
    public List<RaftMessage> messagesAfterSync() {
        return messagesAfterSync;
    }

    /**
     * Returns the entries that are committed and synced on this replica, to be applied in order.
     *
     * @return the entries
     */
    public List<LogEntry> committed() {
        return committed;
    }

    /**
     * Returns the snapshot chunks to read and send.
     *
     * @return the chunk requests
     */
    public List<ChunkSend> chunkSends() {
        return chunkSends;
    }

    /**
     * Returns the received snapshot chunk to store. When the last chunk is synced, the caller invokes {@link
     * Consensus#snapshotInstalled}.
     *
     * @return the chunk, or null
     */
    public RaftSnapshot snapshotChunk() {
        return snapshotChunk;
    }

    /**
     * Returns the installed snapshot that replaces the log and the state machine's state.
     *
     * @return the head of the snapshot, or null if none was installed
     */
    public SnapshotHead installedSnapshot() {
        return installedSnapshot;
    }

    /**
     * Returns the reason why a request was refused.
     *
     * @return the reason, or null if the request was accepted
     */
    public String refusal() {
        return refusal;
    }

    /**
     * Returns whether this output contains writes.
     *
     * @return true if the hard state or the log must be written
     */
    public boolean hasWrites() {
        return hardState != null || truncateFrom > 0 || !newEntries.isEmpty();
    }

    void sequence(long value) {
        sequence = value;
    }

    void hardState(HardState value) {
        hardState = value;
    }

    void truncateFrom(long index) {
        truncateFrom = index;
    }

    void snapshotChunk(RaftSnapshot chunk) {
        snapshotChunk = chunk;
    }

    void installedSnapshot(SnapshotHead head) {
        installedSnapshot = head;
    }

    Output withRefusal(String text) {
        refusal = text;
        return this;
    }
}
