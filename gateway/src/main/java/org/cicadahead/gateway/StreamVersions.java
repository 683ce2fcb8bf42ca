package org.cicadahead.gateway;

import java.util.HashSet;
import java.util.Set;

/**
 * The software versions of endpoints to which a request may be sent. Guarded by the lock of the request scope.
 *
 * <p>What endpoints of two versions write does not fit together. A stream is therefore bound to the version that sent
 * its first event, also over the attempts of its caller: a version is recorded in the stores before the request is sent
 * to an endpoint of that version.
 */
final class StreamVersions {
    private final Set<String> recorded = new HashSet<>();
    private final boolean restricted;
    private boolean extendable;

    private StreamVersions(boolean restricted, boolean extendable) {
        this.restricted = restricted;
        this.extendable = extendable;
    }

    /** Returns the versions of a request whose response cannot be resumed: all of them. */
    static StreamVersions any() {
        return new StreamVersions(false, false);
    }

    /** Returns the versions of a new stream, to which others can be added before its first event. */
    static StreamVersions ofNewStream(Set<String> recorded) {
        StreamVersions versions = new StreamVersions(true, true);
        versions.recorded.addAll(recorded);
        return versions;
    }

    /** Returns the version of a stream that has begun, or of one for which no other version can be recorded. */
    static StreamVersions only(String version) {
        StreamVersions versions = new StreamVersions(true, false);
        versions.recorded.add(version);
        return versions;
    }

    /** Returns whether the request may be sent to an endpoint of a version. */
    boolean allows(String version) {
        return !restricted || recorded.contains(version);
    }

    /** Returns whether another version may be recorded. */
    boolean isExtendable() {
        return extendable;
    }

    /** Adds a version that the stores have recorded. */
    void add(String version) {
        recorded.add(version);
    }

    /** Binds the stream to the version whose endpoint sent a part of it. */
    void bind(String version) {
        if (restricted) {
            extendable = false;
            recorded.retainAll(Set.of(version));
        }
    }
}
