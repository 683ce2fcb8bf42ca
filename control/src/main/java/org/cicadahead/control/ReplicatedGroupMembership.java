package org.cicadahead.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cicadahead.operator.AdminException;
import org.cicadahead.operator.AdminProblem;
import org.cicadahead.operator.MemberView;
import org.cicadahead.raft.ReplicaId;
import org.cicadahead.replication.MemberStatus;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationException;
import org.jboss.logging.Logger;

/** Lists and changes the members of the replica group through the replicated log. Thread-safe. */
final class ReplicatedGroupMembership implements GroupMembership {
    private static final Logger LOG = Logger.getLogger("cicadahead.control");
    private static final long LIST_TIMEOUT_MILLIS = 1_000;

    private final ReplicatedNode node;

    ReplicatedGroupMembership(ReplicatedNode node) {
        this.node = node;
    }

    @Override
    public Optional<String> failure() {
        return Optional.ofNullable(node.failure()).map(Throwable::getMessage);
    }

    @Override
    public List<MemberView> list() {
        try {
            List<MemberStatus> members = node.members().get(LIST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            long last =
                    members.stream().mapToLong(MemberStatus::matchIndex).max().orElse(0);
            return members.stream().map(member -> view(member, last)).toList();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warnf("control: Cannot list the members: %s", e.getMessage());
            return List.of();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of();
        }
    }

    @Override
    public CompletableFuture<Void> add(String replica, String address) {
        return parse(replica)
                .thenCompose(id -> node.addMember(address).thenCompose(done -> node.members()))
                .handle((members, failure) -> {
                    if (failure != null) {
                        throw refused(failure);
                    }
                    if (members.stream().noneMatch(m -> m.id().value().equals(replica))) {
                        throw new CompletionException(new AdminException(
                                AdminProblem.MEMBERS_REFUSED,
                                "the replica at " + address
                                        + " has another id than requested; it was added under its own id"));
                    }
                    return null;
                });
    }

    @Override
    public CompletableFuture<Void> remove(String replica) {
        return parse(replica).thenCompose(node::removeMember).handle((done, failure) -> {
            if (failure != null) {
                throw refused(failure);
            }
            return null;
        });
    }

    private static MemberView view(MemberStatus status, long last) {
        return new MemberView(
                status.id().value(),
                status.address(),
                status.voter(),
                status.leader(),
                status.matchIndex(),
                last - status.matchIndex());
    }

    private static CompletableFuture<ReplicaId> parse(String replica) {
        try {
            return CompletableFuture.completedFuture(ReplicaId.of(replica));
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(new AdminException(AdminProblem.MALFORMED, e.getMessage()));
        }
    }

    private static CompletionException refused(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ReplicationException replication) {
            AdminProblem problem =
                    replication.mayBeCommitted() ? AdminProblem.UNCONFIRMED : AdminProblem.MEMBERS_REFUSED;
            return new CompletionException(new AdminException(problem, replication.getMessage()));
        }
        return new CompletionException(cause);
    }
}
