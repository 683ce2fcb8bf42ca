package org.cicadahead.store;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cicadahead.fleet.CloseTurn;
import org.cicadahead.fleet.OpenTurn;
import org.cicadahead.fleet.ReadStoreMembers;
import org.cicadahead.fleet.StoreMembers;
import org.cicadahead.fleet.TurnOpened;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.NotLeader;
import org.cicadahead.replication.MemberStatus;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.wire.PeerHandler;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;

/** Handles the requests of other daemons to a store. Thread-safe. */
final class StoreService implements PeerHandler {
    private static final long MEMBERS_TIMEOUT_MILLIS = 500;

    private volatile Replica replica;

    private record Replica(ReplicatedNode node, TurnStateMachine machine) {}

    /** Sets the replica and the state machine that requests are passed to. */
    void serve(ReplicatedNode node, TurnStateMachine machine) {
        replica = new Replica(node, machine);
    }

    @Override
    public void handle(Message request, Responder responder) throws WireException {
        Replica serving = replica;
        if (serving == null) {
            throw new WireException(WireException.Kind.REMOTE, "the store has not joined its group yet");
        }
        ReplicatedNode current = serving.node;
        if (ReplicatedNode.handles(request)) {
            current.handle(request, responder);
        } else if (!current.isLeader()) {
            responder.reply(new NotLeader(current.leaderAddress()));
        } else if (request instanceof OpenTurn open) {
            open(serving, open, responder);
        } else if (request instanceof CloseTurn close) {
            responder.replyWith(current.propose(close));
        } else if (request instanceof ReadStoreMembers) {
            members(current, responder);
        } else {
            throw new WireException(WireException.Kind.REMOTE, "unexpected " + request.getClass());
        }
    }

    private static void open(Replica serving, OpenTurn request, Responder responder) {
        responder.replyWith(serving.node.propose(request).thenApply(reply -> {
            TurnOpened opened = (TurnOpened) reply;
            boolean needsHistory = opened.verdict() == TurnOpened.Verdict.OPEN
                    && !request.previous().isEmpty()
                    && !request.knowsPrevious();
            return needsHistory
                    ? new TurnOpened(
                            opened.verdict(), serving.machine.history(request.previous()), opened.resumedVersions())
                    : opened;
        }));
    }

    /**
     * Replies with the members of the group, but only under a valid lease, because a leader that has been replaced does
     * not know of later changes.
     */
    private static void members(ReplicatedNode current, Responder responder) {
        current.members()
                .orTimeout(MEMBERS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((members, failure) -> {
                    if (failure != null) {
                        responder.fail(String.valueOf(failure.getMessage()));
                    } else if (!current.holdsLease(ReplicatedNode.monotonicMillis())) {
                        responder.reply(new NotLeader(current.leaderAddress()));
                    } else {
                        List<String> addresses =
                                members.stream().map(MemberStatus::address).toList();
                        responder.reply(new StoreMembers(addresses));
                    }
                });
    }
}
