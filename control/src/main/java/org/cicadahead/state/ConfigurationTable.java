package org.cicadahead.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.protocol.ConfigurationDelta;
import org.cicadahead.protocol.DeleteResource;
import org.cicadahead.protocol.EditOutcome;
import org.cicadahead.protocol.EditReply;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.ResourceChange;

/**
 * The configuration resources, versioned by one revision counter. Not thread-safe.
 *
 * <p>Edits are idempotent: the result of each edit is recorded by request id for {@value #REQUEST_RETENTION_MILLIS} ms
 * (24 h), and a resend during that time gets the recorded result. A later resend is applied as a new edit. It normally
 * fails with a conflict and changes nothing, because its expected revision is outdated by then.
 */
public final class ConfigurationTable {
    /** How long results of edits are recorded, in milliseconds. */
    public static final long REQUEST_RETENTION_MILLIS = 24 * 60 * 60 * 1_000L;
    /** Number of deletions kept for receivers that are behind: about two days at the expected 470 changes a day. */
    static final int MAX_DELETIONS = 1_000;

    private final Map<ResourceName, ResourceChange> current = new TreeMap<>();
    private final TreeMap<Long, ResourceChange> byRevision = new TreeMap<>();
    private final Deque<Long> deletions = new ArrayDeque<>();
    private final Map<RequestId, RecordedEdit> recorded = new HashMap<>();
    private final Deque<RecordedEdit> recordedInOrder = new ArrayDeque<>();
    private long revision;
    private long forgottenRevision;

    ConfigurationTable() {}

    /**
     * Returns the revision of the last accepted edit.
     *
     * @return the revision; 0 if there was none
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns a resource.
     *
     * @param kind the kind
     * @param name the name
     * @return the resource, if it exists
     */
    public Optional<ResourceChange> find(ResourceKind kind, String name) {
        return Optional.ofNullable(current.get(new ResourceName(kind, name)));
    }

    /**
     * Returns all resources of a kind in order of name.
     *
     * @param kind the kind
     * @return the resources
     */
    public List<ResourceChange> list(ResourceKind kind) {
        return current.values().stream().filter(r -> r.kind() == kind).toList();
    }

    /**
     * Returns the recorded result of an edit.
     *
     * @param request the request id
     * @return the result, or empty if none is recorded
     */
    public Optional<EditReply> recorded(RequestId request) {
        return Optional.ofNullable(recorded.get(request)).map(RecordedEdit::reply);
    }

    /**
     * Returns the changes since the revision of a receiver.
     *
     * @param sinceRevision the revision that the receiver has
     * @return the changes, or empty if the receiver is up to date
     */
    public Optional<ConfigurationDelta> since(long sinceRevision) {
        if (sinceRevision >= revision) {
            return Optional.empty();
        }
        if (sinceRevision < forgottenRevision || sinceRevision <= 0) {
            List<ResourceChange> all =
                    byRevision.values().stream().filter(r -> r.body() != null).toList();
            return Optional.of(new ConfigurationDelta(true, revision, all));
        }
        Collection<ResourceChange> later =
                byRevision.tailMap(sinceRevision, false).values();
        return Optional.of(new ConfigurationDelta(false, revision, List.copyOf(later)));
    }

    EditReply put(long nowMillis, PutResource edit) {
        RecordedEdit previous = recorded.get(edit.request());
        String fingerprint = fingerprint(edit);
        if (previous != null) {
            return previous.replyTo(fingerprint);
        }
        ResourceName name = new ResourceName(edit.kind(), edit.name());
        ResourceChange existing = current.get(name);
        long currentRevision = existing == null ? 0 : existing.revision();
        EditReply reply;
        if (edit.body() == null || edit.body().isNull()) {
            reply = new EditReply(EditOutcome.INVALID, existing, "the resource is missing");
        } else if (edit.expectedRevision() != currentRevision) {
            reply = conflict(existing, currentRevision, edit.expectedRevision());
        } else {
            reply = new EditReply(EditOutcome.ACCEPTED, applyChange(name, edit.body()), "");
        }
        return record(nowMillis, edit.request(), fingerprint, reply);
    }

    EditReply delete(long nowMillis, DeleteResource edit) {
        RecordedEdit previous = recorded.get(edit.request());
        String fingerprint = "delete " + edit.kind() + " " + edit.name() + " " + edit.expectedRevision();
        if (previous != null) {
            return previous.replyTo(fingerprint);
        }
        ResourceName name = new ResourceName(edit.kind(), edit.name());
        ResourceChange existing = current.get(name);
        EditReply reply;
        if (existing == null) {
            reply = new EditReply(EditOutcome.NOT_FOUND, null, "the resource does not exist");
        } else if (edit.expectedRevision() != existing.revision()) {
            reply = conflict(existing, existing.revision(), edit.expectedRevision());
        } else {
            reply = new EditReply(EditOutcome.ACCEPTED, applyChange(name, null), "");
        }
        return record(nowMillis, edit.request(), fingerprint, reply);
    }

    boolean hasExpired(long nowMillis) {
        RecordedEdit oldest = recordedInOrder.peekFirst();
        return oldest != null && oldest.atMillis() + REQUEST_RETENTION_MILLIS <= nowMillis;
    }

    void expire(long nowMillis) {
        while (hasExpired(nowMillis)) {
            recorded.remove(recordedInOrder.removeFirst().request());
        }
    }

    ConfigurationImage image() {
        return new ConfigurationImage(
                revision, forgottenRevision, List.copyOf(byRevision.values()), List.copyOf(recordedInOrder));
    }

    void restore(ConfigurationImage image) {
        revision = image.revision();
        forgottenRevision = image.forgottenRevision();
        for (ResourceChange change : image.changes()) {
            byRevision.put(change.revision(), change);
            if (change.body() == null) {
                deletions.addLast(change.revision());
            } else {
                current.put(new ResourceName(change.kind(), change.name()), change);
            }
        }
        for (RecordedEdit edit : image.recorded()) {
            recorded.put(edit.request(), edit);
            recordedInOrder.addLast(edit);
        }
    }

    /**
     * Returns what identifies a resend of an edit. The digest of a key is left out, as each attempt to create a key
     * generates a new one.
     */
    private static String fingerprint(PutResource edit) {
        if (edit.kind() == ResourceKind.KEY && edit.body() != null) {
            return "put key " + edit.expectedRevision() + " " + edit.body().path("organisation") + " "
                    + edit.body().path("label");
        }
        return "put " + edit.kind() + " " + edit.name() + " " + edit.expectedRevision() + " " + edit.body();
    }

    private static EditReply conflict(ResourceChange existing, long currentRevision, long expected) {
        return new EditReply(
                EditOutcome.CONFLICT,
                existing,
                "the edit is based on revision " + expected + ", the resource is at revision " + currentRevision);
    }

    private ResourceChange applyChange(ResourceName name, JsonNode body) {
        revision++;
        ResourceChange change = new ResourceChange(name.kind(), name.name(), revision, body);
        ResourceChange previous = body == null ? current.remove(name) : current.put(name, change);
        if (previous != null) {
            byRevision.remove(previous.revision());
        }
        byRevision.put(revision, change);
        if (body == null) {
            deletions.addLast(revision);
            if (deletions.size() > MAX_DELETIONS) {
                forgottenRevision = deletions.removeFirst();
                byRevision.remove(forgottenRevision);
            }
        }
        return change;
    }

    private EditReply record(long nowMillis, RequestId request, String fingerprint, EditReply reply) {
        RecordedEdit edit = new RecordedEdit(request, nowMillis, fingerprint, reply);
        recorded.put(request, edit);
        recordedInOrder.addLast(edit);
        return reply;
    }

    /** Identifies a resource by kind and name. */
    private record ResourceName(ResourceKind kind, String name) implements Comparable<ResourceName> {
        @Override
        public int compareTo(ResourceName other) {
            int byKind = kind.compareTo(other.kind);
            return byKind != 0 ? byKind : name.compareTo(other.name);
        }
    }

    /**
     * The recorded result of an edit.
     *
     * @param request the request id
     * @param atMillis when it was applied, in leader time
     * @param fingerprint identifies the edit, to tell a resend from another edit under the same request id
     * @param reply the result
     */
    public record RecordedEdit(RequestId request, long atMillis, String fingerprint, EditReply reply) {
        EditReply replyTo(String otherFingerprint) {
            return fingerprint.equals(otherFingerprint)
                    ? reply
                    : new EditReply(EditOutcome.INVALID, null, "the request id was used for another edit");
        }
    }

    /**
     * The content of the table for a snapshot.
     *
     * @param revision the revision
     * @param forgottenRevision the revision of the last deletion that was dropped; older receivers get the full
     *     configuration
     * @param changes the latest change of each resource, in order of revision
     * @param recorded the recorded results of edits, ordered by time
     */
    public record ConfigurationImage(
            long revision, long forgottenRevision, List<ResourceChange> changes, List<RecordedEdit> recorded) {}
}
