package org.cicadahead.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadahead.raft.Member;
import org.cicadahead.raft.Membership;
import org.cicadahead.raft.ReplicaId;

/**
 * Discovers the ids of the replicas at the known addresses, and whether the group already exists.
 *
 * <p>Only one replica bootstraps a group: the initial member with the smallest address, after every other initial
 * member has reported its id and an empty log. If this replica later loses its data, it does not bootstrap a second
 * group, because at least one of its peers then reports a non-empty log. It joins the existing group instead.
 */
final class Discovery {
    /** Shorter than the usual interval, because a replica without a log waits to join or to bootstrap a group. */
    private static final long EMPTY_LOG_HELLO_INTERVAL_MILLIS = 200;

    private static final long HELLO_INTERVAL_MILLIS = 1_000;

    private final ReplicationConfig config;
    private final ReplicaId self;
    private final Transport transport;
    private final Map<String, RaftHelloReply> answers = new ConcurrentHashMap<>();
    private volatile Set<String> contacts = Set.of();
    private volatile boolean groupExists;
    private long nextHelloMillis = Long.MIN_VALUE;

    Discovery(ReplicationConfig config, ReplicaId self, Transport transport) {
        this.config = config;
        this.self = self;
        this.transport = transport;
    }

    /** Sets additional addresses at which replicas of the group may be found. */
    void setContacts(Set<String> addresses) {
        contacts = Set.copyOf(addresses);
    }

    /** Sends a hello to all known addresses when the interval has elapsed. */
    void tick(long nowMillis, boolean emptyLog, Membership membership) {
        if (nowMillis < nextHelloMillis) {
            return;
        }
        nextHelloMillis = nowMillis + (emptyLog ? EMPTY_LOG_HELLO_INTERVAL_MILLIS : HELLO_INTERVAL_MILLIS);
        Set<String> addresses = new TreeSet<>(config.members());
        addresses.addAll(contacts);
        membership.members().forEach(member -> addresses.add(member.address()));
        addresses.remove(config.address());
        RaftHello hello = new RaftHello(self, config.address(), emptyLog);
        for (String address : addresses) {
            transport.hello(address, hello).thenAccept(reply -> recordAnswer(address, reply));
        }
    }

    /** Returns the initial membership if this replica must bootstrap the group now, otherwise null. */
    Membership initialMembership() {
        if (!config.bootstrap()
                || groupExists
                || !Collections.min(config.members()).equals(config.address())) {
            return null;
        }
        List<Member> members = new ArrayList<>();
        for (String address : config.members()) {
            RaftHelloReply answer = answers.get(address);
            if (address.equals(config.address())) {
                members.add(new Member(self, address, true));
            } else if (answer == null) {
                return null;
            } else {
                members.add(new Member(answer.id(), address, true));
            }
        }
        return new Membership(members);
    }

    private void recordAnswer(String address, RaftHelloReply reply) {
        transport.recordAddress(reply.id(), address);
        if (reply.initialised()) {
            groupExists = true;
        }
        answers.put(address, reply);
    }
}
