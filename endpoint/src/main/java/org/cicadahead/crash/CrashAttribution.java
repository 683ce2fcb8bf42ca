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
 * Determines which requests were running when an engine crashed. Not thread-safe.
 *
 * <p>A run whose connection was lost counts as running until the engine's instance id shows whether the engine crashed.
 * Until then no run may be sent ({@link #isUncertain()}), so that no later request is suspected of causing the crash.
 */
public final class CrashAttribution {
    /**
     * How long a digest stays suspect on this endpoint, in milliseconds. The poison table of control, which then lists
     * the digest for all endpoints, usually arrives long before.
     */
    private static final long SUSPECT_MILLIS = 600_000;

    private final Map<RunId, RequestDigest> running = new HashMap<>();
    private final Map<RunId, RequestDigest> disconnected = new HashMap<>();
    private final Map<RequestDigest, Long> suspectUntilMillis = new HashMap<>();
    private String instance = "";
    private String reportedInstance = "";

    /**
     * An engine crash. Immutable.
     *
     * @param instance the instance that crashed
     * @param digests the digests of the requests that were running; a single digest means that the request ran alone
     */
    public record Crash(String instance, List<RequestDigest> digests) {}

    /** Creates an instance that has seen no engine yet. */
    public CrashAttribution() {}

    /**
     * Records that a run is sent to the engine.
     *
     * @param run the run
     * @param digest the digest of its request
     */
    public void started(RunId run, RequestDigest digest) {
        running.put(run, digest);
    }

    /**
     * Records that a run has completed without crashing the engine.
     *
     * @param run the run
     * @return the digest of its request if it was suspect and is now cleared
     */
    public Optional<RequestDigest> completed(RunId run) {
        RequestDigest digest = running.remove(run);
        return digest != null && suspectUntilMillis.remove(digest) != null ? Optional.of(digest) : Optional.empty();
    }

    /**
     * Records that a run was cancelled or refused, which makes its request neither suspect nor cleared.
     *
     * @param run the run
     */
    public void withdrawn(RunId run) {
        running.remove(run);
    }

    /**
     * Records that the connection of a run was lost and could not be resumed.
     *
     * @param run the run
     */
    public void connectionLost(RunId run) {
        RequestDigest digest = running.remove(run);
        if (digest != null) {
            disconnected.put(run, digest);
        }
    }

    /**
     * Returns whether a connection was lost and it is not known yet whether the engine crashed.
     *
     * @return true if no run may be sent
     */
    public boolean isUncertain() {
        return !disconnected.isEmpty();
    }

    /**
     * Records the instance id from a status request that was sent after the last lost connection.
     *
     * @param id the instance id
     * @param nowMillis the current time
     * @return the crash if the instance is new and requests were running on the previous one
     */
    public Optional<Crash> instanceReported(String id, long nowMillis) {
        String previous = instance;
        instance = id;
        if (previous.isEmpty() || previous.equals(id) || previous.equals(reportedInstance)) {
            disconnected.clear();
            return Optional.empty();
        }
        return crash(previous, nowMillis);
    }

    /**
     * Records that the engine refuses connections, which means that its process is not running.
     *
     * @param nowMillis the current time
     * @return the crash if requests were running and the crash is not reported yet
     */
    public Optional<Crash> unreachable(long nowMillis) {
        if (instance.isEmpty() || instance.equals(reportedInstance) || disconnected.isEmpty()) {
            return Optional.empty();
        }
        return crash(instance, nowMillis);
    }

    /**
     * Returns whether a request was running when the engine of this endpoint crashed recently.
     *
     * @param digest the digest of the request
     * @param nowMillis the current time
     * @return true if its next run must be the only one on the engine
     */
    public boolean isSuspect(RequestDigest digest, long nowMillis) {
        Long until = suspectUntilMillis.get(digest);
        return until != null && until - nowMillis > 0;
    }

    private Optional<Crash> crash(String crashed, long nowMillis) {
        Set<RequestDigest> digests = new HashSet<>(running.values());
        digests.addAll(disconnected.values());
        running.clear();
        disconnected.clear();
        reportedInstance = crashed;
        if (digests.isEmpty()) {
            return Optional.empty();
        }
        suspectUntilMillis.values().removeIf(until -> until - nowMillis <= 0);
        digests.forEach(digest -> suspectUntilMillis.put(digest, nowMillis + SUSPECT_MILLIS));
        return Optional.of(new Crash(crashed, List.copyOf(digests)));
    }
}
