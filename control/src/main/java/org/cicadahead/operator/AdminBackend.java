package org.cicadahead.operator;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.state.ConfigurationTable;

/** What the admin API needs of control. Implementations are safe for use by several threads. */
public interface AdminBackend {

    /**
     * Returns whether this replica is the leader and holds its lease.
     *
     * @return true if its answers are current
     */
    boolean isLeader();

    /**
     * Returns where operators reach the leader.
     *
     * @return host and port, or empty if there is no leader or its address is not known
     */
    Optional<String> leaderAdminAddress();

    /**
     * Reads the configuration.
     *
     * @param <T> the type of the result
     * @param reader reads; must be short and must not keep the table
     * @return its result
     */
    <T> T configuration(Function<ConfigurationTable, T> reader);

    /**
     * Proposes a command.
     *
     * @param command the command
     * @return the answer; a {@link org.cicadahead.protocol.NotLeader} if it certainly is not committed; fails if it may
     *     be
     */
    CompletableFuture<Message> propose(Command command);

    /**
     * Returns the status of the fleet.
     *
     * @return the status
     * @throws AdminException if this replica is no longer the leader
     */
    FleetStatus status() throws AdminException;

    /**
     * Asks the daemon of an endpoint to drain.
     *
     * @param endpoint the endpoint
     * @throws AdminException if the endpoint is not known, or this replica is no longer the leader
     */
    void drain(EndpointId endpoint) throws AdminException;

    /**
     * Returns a program with its history.
     *
     * @param program the program
     * @return the program, if it is known
     * @throws AdminException if its history cannot be read
     */
    Optional<ProgramView> program(ProgramKey program) throws AdminException;

    /**
     * Returns the replicas.
     *
     * @return the replicas
     */
    List<MemberView> members();

    /**
     * Adds a replica, first without a vote and then as a voter.
     *
     * @param replica the replica id
     * @param address host and port at which it serves daemons
     * @return completes when it was added; fails with an {@link AdminException}
     */
    CompletableFuture<Void> addMember(String replica, String address);

    /**
     * Removes a replica.
     *
     * @param replica the replica id
     * @return completes when it was removed; fails with an {@link AdminException}
     */
    CompletableFuture<Void> removeMember(String replica);
}
