package org.cicadahead.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * What is to be done after an event. Used by one thread.
 *
 * <p>The writes (hard state, truncation, entries) are done in the order of the outputs; {@link #messagesAfterSync} is
 * sent only when the writes of this and of all earlier outputs are synced, and then {@link Consensus#persisted}
 * is called with
 * {@link #sequence}. {@link #messages} needs no wait.
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
     * A chunk of the latest snapshot to be read and sent.
     *
     * @param to the follower
     * @param head what the snapshot covers
     * @param offset the position of the chunk in bytes
     * @param term the term of the leader
     * @param sentMillis the time to put in the message, in milliseconds
     */
    public record ChunkSend(ReplicaId to, SnapshotHead head, long offset, long term, long sentMillis) {}

    Output() {}

    /**
     * Returns the number of this output.
     *
     * @return the number
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns the hard state to write.
     *
     * @return the hard state, or null if it has not changed
     */
    public HardState hardState() {
        return hardState;
    }

    /**
     * Returns the first entry to remove from the log before the new ones are written.
     *
     * @return the index, or 0 if none
     */
    public long truncateFrom() {
        return truncateFrom;
    }

    /**
     * Returns the entries to write.
     *
     * @return the entries, in order
     */
    public List<LogEntry> newEntries() {
        return newEntries;
    }

    /**
     * Returns the messages to send at once.
     *
     * @return the messages
     */
    public List<RaftMessage> messages() {
        return messages;
    }

    /**
     * Returns the messages to send when all is synced.
     *
     * @return the messages
     */
    public List<RaftMessage> messagesAfterSync() {
        return messagesAfterSync;
    }

    /**
     * Returns the entries that are committed and synced here, to be applied in order.
     *
     * @return the entries
     */
    public List<LogEntry> committed() {
        return committed;
    }

    /**
     * Returns the chunks of the snapshot to send.
     *
     * @return the chunks
     */
    public List<ChunkSend> chunkSends() {
        return chunkSends;
    }

    /**
     * Returns the chunk to store. When the last one is synced, {@link Consensus#snapshotInstalled} is called.
     *
     * @return the chunk, or null
     */
    public RaftSnapshot snapshotChunk() {
        return snapshotChunk;
    }

    /**
     * Returns the snapshot that replaces the log and the state.
     *
     * @return what it covers, or null
     */
    public SnapshotHead installedSnapshot() {
        return installedSnapshot;
    }

    /**
     * Returns why a request was not taken.
     *
     * @return a sentence, or null if it was taken
     */
    public String refusal() {
        return refusal;
    }

    /**
     * Returns whether something is to be written.
     *
     * @return true if so
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
