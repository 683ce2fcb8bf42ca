package org.cicadahead.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The entries that share the request limits of endpoints, as one of them knows the group. Not thread-safe.
 *
 * <p>Every entry computes the same division of a limit from the same names, so that no message is needed. Create a
 * group with {@link #of(String)}.
 */
public final class EntryGroup {
    /**
     * The time for which an entry stays in the group after the hubs have stopped to name it, in milliseconds. A hub
     * that has restarted names only the entries that have already reconnected to it, and an entry that the hubs have
     * lost may still send requests.
     */
    static final long DEPARTURE_MILLIS = 10_000;

    private final String self;
    private final Map<String, Long> departedMillis = new HashMap<>();
    private Set<String> present = Set.of();
    private long wallOffsetMillis;

    private EntryGroup(String self) {
        this.self = Objects.requireNonNull(self, "The name must not be null");
    }

    /**
     * Returns a group that consists of one entry.
     *
     * @param self the name of the entry that the group belongs to
     * @return the group
     */
    public static EntryGroup of(String self) {
        return new EntryGroup(self);
    }

    /**
     * Replaces the names of the entries.
     *
     * @param names the names that the hubs report
     * @param nowMillis monotonic time in milliseconds
     * @param wallMillis wall-clock time in milliseconds since the epoch
     */
    public void update(Set<String> names, long nowMillis, long wallMillis) {
        wallOffsetMillis = wallMillis - nowMillis;
        for (String name : present) {
            if (!names.contains(name)) {
                departedMillis.put(name, nowMillis);
            }
        }
        departedMillis.keySet().removeAll(names);
        present = Set.copyOf(names);
    }

    /**
     * Returns the names of all entries of the group.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return the names, including this entry's own
     */
    Set<String> members(long nowMillis) {
        departedMillis.values().removeIf(departed -> nowMillis - departed >= DEPARTURE_MILLIS);
        Set<String> members = new HashSet<>(present);
        members.addAll(departedMillis.keySet());
        members.add(self);
        return members;
    }

    /**
     * Returns the number of entries that precede this one in the order in which the members are considered for a
     * resource; each resource has an order of its own.
     */
    int rank(String resource, Set<String> members) {
        long own = Rendezvous.rank(resource, self);
        int rank = 0;
        for (String member : members) {
            long other = Rendezvous.rank(resource, member);
            if (other > own || other == own && member.compareTo(self) < 0) {
                rank++;
            }
        }
        return rank;
    }

    /** Returns the wall-clock time, which the entries have nearly in common, in milliseconds since the epoch. */
    long wallMillis(long nowMillis) {
        return nowMillis + wallOffsetMillis;
    }
}
