package org.cicadahead.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.wire.Codec;

/** Serves the requests for status, members, endpoints and programs. Thread-safe. */
final class FleetRequests {
    /**
     * Timeout of a membership change, in milliseconds. It is long because a new replica first has to catch up with the
     * log.
     */
    private static final long MEMBERS_TIMEOUT_MILLIS = 30_000;

    private static final String PLACEMENT = "placement";

    private final AdminBackend backend;

    FleetRequests(AdminBackend backend) {
        this.backend = backend;
    }

    AdminReply status() throws AdminException {
        return AdminReply.of(AdminReply.OK, backend.status());
    }

    AdminReply members() {
        return AdminReply.of(AdminReply.OK, new MemberList(backend.members()));
    }

    AdminReply addMember(String replica, AdminRequest request) throws AdminException {
        String address = request.json().path("address").asText();
        if (address.isEmpty()) {
            throw new AdminException(AdminProblem.MALFORMED, "the body needs an address");
        }
        await(backend.addMember(replica, address));
        return members();
    }

    AdminReply removeMember(String replica) throws AdminException {
        await(backend.removeMember(replica));
        return members();
    }

    AdminReply drain(String endpoint) throws AdminException {
        try {
            backend.drain(EndpointId.of(endpoint));
        } catch (IllegalArgumentException e) {
            throw new AdminException(AdminProblem.MALFORMED, e.getMessage());
        }
        ObjectNode body =
                Codec.json().createObjectNode().put("endpoint", endpoint).put("draining", true);
        return AdminReply.of(AdminReply.ACCEPTED, body);
    }

    AdminReply program(String organisation, String id) throws AdminException {
        try {
            ProgramKey key = ProgramKey.of(OrganisationId.of(organisation), ProgramId.of(id));
            ProgramView view = backend.program(key)
                    .orElseThrow(() -> new AdminException(AdminProblem.NOT_FOUND, "there is no program " + key));
            return AdminReply.of(AdminReply.OK, toJson(view));
        } catch (IllegalArgumentException e) {
            throw new AdminException(AdminProblem.MALFORMED, e.getMessage());
        }
    }

    /** Returns a program as JSON. The content of its steps belongs to the caller, so operators see only its size. */
    private static ObjectNode toJson(ProgramView view) {
        ObjectNode json = Codec.json().valueToTree(view);
        ArrayNode steps = json.putArray("history");
        for (HistoryRecord record : view.history()) {
            ObjectNode step = steps.addObject()
                    .put("step", record.step())
                    .put("request_bytes", record.request() == null ? 0 : record.request().length)
                    .put("answer_bytes", record.answer() == null ? 0 : record.answer().length);
            JsonNode placement = placement(record);
            if (placement.isObject()) {
                step.set(PLACEMENT, placement);
            }
        }
        return json;
    }

    /** Returns the placement that the entry recorded in the answer of a step; a missing node if there is none. */
    private static JsonNode placement(HistoryRecord record) {
        try {
            return record.answer() == null
                    ? MissingNode.getInstance()
                    : Codec.json().readTree(record.answer()).path(PLACEMENT);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    private static void await(CompletableFuture<Void> change) throws AdminException {
        try {
            change.get(MEMBERS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof AdminException refused) {
                throw refused;
            }
            throw new AdminException(
                    AdminProblem.MEMBERS_REFUSED, String.valueOf(e.getCause().getMessage()));
        } catch (TimeoutException e) {
            throw new AdminException(AdminProblem.UNCONFIRMED, "the membership change has not finished yet");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AdminException(AdminProblem.UNCONFIRMED, "the process is shutting down");
        }
    }

    /**
     * All replicas.
     *
     * @param items the replicas
     */
    private record MemberList(List<MemberView> items) {}
}
