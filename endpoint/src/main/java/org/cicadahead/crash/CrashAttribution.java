package org.cicadahead.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RunId;

/**
 * Tells which requests were running when an engine crashed. Not safe for use by several threads.
 *
 * <p>A run whose stream broke counts as running until the engine's instance id shows whether the engine crashed. No run
 * may be sent in between ({@link #isUncertain()}), so that no later request is taken for the cause.
 */
public final class CrashAttribution {
    /** How long a digest is remembered here, in milliseconds; control's table has usually arrived long before. */
    private static final long LOCAL_SUSPICION_MILLIS = 600_000;

    private final Map<RunId, RequestDigest> running = new HashMap<>();
    private final Map<RunId, RequestDigest> broken = new HashMap<>();
    private final Map<RequestDigest, Long> suspectedUntil = new HashMap<>();
    private String instance = "";
    private String reported = "";

    /**
     * An engine crash. Immutable.
     *
     * @param instance the instance that crashed
     * @param digests the digests that it was running; a single one ran alone
     */
    public record Crash(String instance, List<RequestDigest> digests) {}

    /** Creates an attribution that knows of no instance. */
    public CrashAttribution() {}

    /**
     * Notes that a run is sent to the engine.
     *
     * @param run the run
     * @param digest its digest
     */
    public void started(RunId run, RequestDigest digest) {
        running.put(run, digest);
    }

    /**
     * Notes that a run is over without harm to the engine.
     *
     * @param run the run
     * @return its digest if it was suspected and is cleared by having completed
     */
    public Optional<RequestDigest> completed(RunId run) {
        RequestDigest digest = running.remove(run);
        return digest != null && suspectedUntil.remove(digest) != null ? Optional.of(digest) : Optional.empty();
    }

    /**
     * Notes that a run was cancelled or refused, which neither blames nor clears it.
     *
     * @param run the run
     */
    public void withdrawn(RunId run) {
        running.remove(run);
    }

    /**
     * Notes that the connection of a run was lost and could not be resumed.
     *
     * @param run the run
     */
    public void broke(RunId run) {
        RequestDigest digest = running.remove(run);
        if (digest != null) {
            broken.put(run, digest);
        }
    }

    /**
     * Returns whether the engine may have crashed without that being known yet.
     *
     * @return true if no run may be sent
     */
    public boolean isUncertain() {
        return !broken.isEmpty();
    }

    /**
     * Notes the instance that answered a status request sent after the last run broke.
     *
     * @param id the instance id
     * @param nowMillis the current time
     * @return the crash if the instance is new and requests were running on the one before
     */
    public Optional<Crash> instanceSeen(String id, long nowMillis) {
        String before = instance;
        instance = id;
        if (before.isEmpty() || before.equals(id) || before.equals(reported)) {
            broken.clear();
            return Optional.empty();
        }
        return crash(before, nowMillis);
    }

    /**
     * Notes that the engine refuses connections, so that it is certainly not running.
     *
     * @param nowMillis the current time
     * @return the crash if requests were running and it is not reported yet
     */
    public Optional<Crash> unreachable(long nowMillis) {
        if (instance.isEmpty() || instance.equals(reported) || broken.isEmpty()) {
            return Optional.empty();
        }
        return crash(instance, nowMillis);
    }

    /**
     * Returns whether a digest was running at a crash here.
     *
     * @param digest the digest
     * @param nowMillis the current time
     * @return true if its next run must be alone
     */
    public boolean isSuspect(RequestDigest digest, long nowMillis) {
        Long until = suspectedUntil.get(digest);
        return until != null && until - nowMillis > 0;
    }

    private Optional<Crash> crash(String crashed, long nowMillis) {
        Set<RequestDigest> digests = new HashSet<>(running.values());
        digests.addAll(broken.values());
        running.clear();
        broken.clear();
        reported = crashed;
        if (digests.isEmpty()) {
            return Optional.empty();
        }
        suspectedUntil.values().removeIf(until -> until - nowMillis <= 0);
        digests.forEach(digest -> suspectedUntil.put(digest, nowMillis + LOCAL_SUSPICION_MILLIS));
        return Optional.of(new Crash(crashed, List.copyOf(digests)));
    }
}
