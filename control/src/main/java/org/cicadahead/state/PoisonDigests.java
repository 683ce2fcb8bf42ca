package org.cicadahead.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.protocol.ClearSuspects;
import org.cicadahead.protocol.CrashReport;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.PoisonEntry;
import org.cicadahead.protocol.PoisonTable;

/**
 * Digests of requests that were running when an engine crashed. Requests that crash engines repeatedly are refused. Not
 * thread-safe.
 *
 * <p>A digest is refused once its request was running when the engines of at least two endpoints crashed and it was the
 * only running request in the last of these crashes. Entries expire {@value #ENTRY_RETENTION_MILLIS} ms after their
 * last crash. A resent crash report is recognised and ignored for {@value #REPORT_RETENTION_MILLIS} ms.
 */
public final class PoisonDigests {
    /** How long an entry is kept after its last crash, in milliseconds. */
    public static final long ENTRY_RETENTION_MILLIS = 600_000;
    /**
     * How long a resent report is recognised, in milliseconds; longer than an entry is kept, so that a resend cannot
     * restore an expired entry.
     */
    public static final long REPORT_RETENTION_MILLIS = 3_600_000;

    private final Map<RequestDigest, PoisonEntry> entries = new TreeMap<>();
    private final Set<Crash> crashes = new HashSet<>();
    private final Deque<ReportedCrash> crashesInOrder = new ArrayDeque<>();
    private long version;

    PoisonDigests() {}

    /**
     * Returns the version, which increases with each change.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns all entries.
     *
     * @return the entries in order of digest
     */
    public PoisonTable table() {
        return new PoisonTable(version, List.copyOf(entries.values()));
    }

    Done report(long nowMillis, CrashReport command) {
        Crash crash = new Crash(command.endpoint(), command.instance());
        if (!crashes.add(crash)) {
            return Done.ok();
        }
        crashesInOrder.addLast(new ReportedCrash(crash, nowMillis));
        Set<RequestDigest> running = new TreeSet<>(command.running());
        for (RequestDigest digest : running) {
            recordSuspect(nowMillis, digest, command.endpoint(), running.size() == 1);
        }
        version += running.isEmpty() ? 0 : 1;
        return Done.ok();
    }

    Done clear(ClearSuspects command) {
        boolean changed = false;
        for (RequestDigest digest : command.digests()) {
            PoisonEntry entry = entries.get(digest);
            if (entry != null && !entry.refused()) {
                entries.remove(digest);
                changed = true;
            }
        }
        version += changed ? 1 : 0;
        return Done.ok();
    }

    boolean hasExpired(long nowMillis) {
        ReportedCrash oldest = crashesInOrder.peekFirst();
        return oldest != null && oldest.atMillis() + REPORT_RETENTION_MILLIS <= nowMillis
                || entries.values().stream().anyMatch(e -> e.untilMillis() <= nowMillis);
    }

    void expire(long nowMillis) {
        if (entries.values().removeIf(e -> e.untilMillis() <= nowMillis)) {
            version++;
        }
        while (!crashesInOrder.isEmpty()
                && crashesInOrder.peekFirst().atMillis() + REPORT_RETENTION_MILLIS <= nowMillis) {
            crashes.remove(crashesInOrder.removeFirst().crash());
        }
    }

    PoisonImage image() {
        return new PoisonImage(version, List.copyOf(entries.values()), new ArrayList<>(crashesInOrder));
    }

    void restore(PoisonImage image) {
        version = image.version();
        image.entries().forEach(e -> entries.put(e.digest(), e));
        for (ReportedCrash reported : image.crashes()) {
            crashes.add(reported.crash());
            crashesInOrder.addLast(reported);
        }
    }

    private void recordSuspect(long nowMillis, RequestDigest digest, EndpointId endpoint, boolean ranAlone) {
        PoisonEntry existing = entries.get(digest);
        Set<EndpointId> crashed = new TreeSet<>(existing == null ? Set.of() : existing.crashed());
        crashed.add(endpoint);
        boolean refused = existing != null && existing.refused() || ranAlone && crashed.size() > 1;
        entries.put(digest, new PoisonEntry(digest, refused, crashed, nowMillis + ENTRY_RETENTION_MILLIS));
    }

    /**
     * Identifies a crash of an engine.
     *
     * @param endpoint the endpoint
     * @param instance the id of the engine instance that crashed
     */
    public record Crash(EndpointId endpoint, String instance) {}

    /**
     * A crash with the time of its report.
     *
     * @param crash the crash
     * @param atMillis when the report was applied, in leader time
     */
    public record ReportedCrash(Crash crash, long atMillis) {}

    /**
     * The content of the table for a snapshot.
     *
     * @param version the version
     * @param entries the entries
     * @param crashes the reported crashes, ordered by time
     */
    public record PoisonImage(long version, List<PoisonEntry> entries, List<ReportedCrash> crashes) {}
}
