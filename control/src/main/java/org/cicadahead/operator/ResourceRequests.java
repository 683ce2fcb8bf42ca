package org.cicadahead.operator;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.DeleteResource;
import org.cicadahead.protocol.EditReply;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.NotLeader;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.ResourceChange;

/** Serves the requests on routes, pools and organisations. Thread-safe. */
final class ResourceRequests {
    /** Timeout of an edit, in milliseconds; it is longer than an election. */
    private static final long EDIT_TIMEOUT_MILLIS = 5_000;

    private final AdminBackend backend;

    ResourceRequests(AdminBackend backend) {
        this.backend = backend;
    }

    AdminReply list(ResourceKind kind) {
        return backend.configuration(c -> AdminReply.of(AdminReply.OK, new ResourceList(c.revision(), c.list(kind))));
    }

    AdminReply get(ResourceKind kind, String name) throws AdminException {
        return AdminReply.of(AdminReply.OK, find(kind, name));
    }

    AdminReply put(ResourceKind kind, String name, AdminRequest request) throws AdminException {
        long expected = request.expectedRevision();
        EditReply reply = edit(new PutResource(
                kind, name, ResourceValidator.withName(request.json(), name), expected, request.editRequestId()));
        return AdminReply.of(expected == 0 ? AdminReply.CREATED : AdminReply.OK, reply.current());
    }

    AdminReply delete(ResourceKind kind, String name, AdminRequest request) throws AdminException {
        EditReply reply = edit(new DeleteResource(kind, name, request.expectedRevision(), request.editRequestId()));
        return AdminReply.of(AdminReply.OK, reply.current());
    }

    ResourceChange find(ResourceKind kind, String name) throws AdminException {
        Optional<ResourceChange> found = backend.configuration(c -> c.find(kind, name));
        return found.orElseThrow(
                () -> new AdminException(AdminProblem.NOT_FOUND, "there is no " + kind.code() + " " + name));
    }

    /** Proposes an edit and returns its reply if it was accepted. */
    EditReply edit(Command command) throws AdminException {
        EditReply reply = propose(command);
        if (!reply.outcome().accepted()) {
            throw new AdminException(AdminProblem.of(reply.outcome()), reply.detail(), reply.current());
        }
        return reply;
    }

    private EditReply propose(Command command) throws AdminException {
        try {
            Message reply = backend.propose(command).get(EDIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            if (reply instanceof EditReply edit) {
                return edit;
            }
            String detail = reply instanceof NotLeader
                    ? "the leader has changed; the edit was not applied"
                    : "unexpected answer " + reply.getClass().getSimpleName();
            throw new AdminException(AdminProblem.NO_LEADER, detail);
        } catch (ExecutionException | TimeoutException e) {
            throw new AdminException(
                    AdminProblem.UNCONFIRMED, "the change may be committed; resend it with the same Request-Id");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AdminException(AdminProblem.UNCONFIRMED, "the process is shutting down");
        }
    }

    /**
     * The resources of a kind.
     *
     * @param revision the revision of the configuration
     * @param items the resources
     */
    private record ResourceList(long revision, List<ResourceChange> items) {}
}
