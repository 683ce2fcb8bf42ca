package org.cicadahead.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The in-memory log: the entries that were not discarded by compaction, and the membership changes among them. */
final class EntryLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private final TreeMap<Long, Membership> memberships = new TreeMap<>();
    private SnapshotHead head;

    EntryLog(SnapshotHead head, List<LogEntry> entries) {
        this.head = head;
        memberships.put(head.index(), head.membership());
        entries.forEach(this::append);
    }

    SnapshotHead head() {
        return head;
    }

    long lastIndex() {
        return head.index() + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    long lastMillis() {
        return entries.isEmpty()
                ? head.millis()
                : entries.get(entries.size() - 1).millis();
    }

    /** Returns the term of the entry at an index, or -1 if the index is before the head or after the last entry. */
    long term(long index) {
        if (index == head.index()) {
            return head.term();
        }
        return index < head.index() || index > lastIndex() ? -1 : get(index).term();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - head.index() - 1));
    }

    /** Returns the entries from an index on, up to a size limit, but at least one if any exists. */
    List<LogEntry> entriesFrom(long index, int maxBytes) {
        List<LogEntry> part = new ArrayList<>();
        long bytes = 0;
        for (long i = index; i <= lastIndex(); i++) {
            LogEntry entry = get(i);
            bytes += entry.size();
            if (!part.isEmpty() && bytes > maxBytes) {
                break;
            }
            part.add(entry);
        }
        return part;
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException(
                    "Entry " + entry.index() + " does not directly follow entry " + lastIndex());
        }
        entries.add(entry);
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            memberships.put(entry.index(), entry.membership());
        }
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - head.index() - 1), entries.size()).clear();
        memberships.tailMap(index, true).clear();
    }

    Membership membership() {
        return memberships.lastEntry().getValue();
    }

    /** Returns the index of the latest membership entry. */
    long membershipIndex() {
        return memberships.lastKey();
    }

    Membership membershipAt(long index) {
        Map.Entry<Long, Membership> entry = memberships.floorEntry(index);
        return entry == null ? Membership.NONE : entry.getValue();
    }

    /**
     * Returns the index of the last entry that compaction discards. Of the entries up to the given index, at most the
     * given number of entries and of bytes are kept.
     */
    long compactionIndex(long index, long entryLimit, long byteLimit) {
        long lastDiscarded = index;
        long bytes = 0;
        while (lastDiscarded > head.index() && index - lastDiscarded < entryLimit) {
            bytes += get(lastDiscarded).size();
            if (bytes > byteLimit) {
                break;
            }
            lastDiscarded--;
        }
        return lastDiscarded;
    }

    /**
     * Discards the entries that a snapshot covers. The later entries are kept only if this log contains the last entry
     * that the snapshot covers, with the same term.
     */
    void startAfter(SnapshotHead next) {
        if (term(next.index()) == next.term()) {
            entries.subList(0, (int) (next.index() - head.index())).clear();
        } else {
            entries.clear();
            memberships.clear();
        }
        memberships.headMap(next.index(), true).clear();
        memberships.put(next.index(), next.membership());
        head = next;
    }
}
