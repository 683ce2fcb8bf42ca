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

/** The operations of control that the admin API uses. Implementations are thread-safe. */
public interface AdminBackend {

    /**
     * Returns why this replica is out, which means that it neither votes nor leads until it is restarted.
     *
     * @return the cause, or empty if it is running
     */
    Optional<String> failure();

    /**
     * Returns whether this replica is the leader and holds its lease.
     *
     * @return true if it leads, so that its answers are current
     */
    boolean isLeader();

    /**
     * Returns the admin address of the leader.
     *
     * @return host and port, or empty if there is no leader or its address is not known
     */
    Optional<String> leaderAdminAddress();

    /**
     * Reads the configuration.
     *
     * @param <T> the type of the result
     * @param reader reads the table; must return quickly and must not retain it
     * @return the result of the reader
     */
    <T> T configuration(Function<ConfigurationTable, T> reader);

    /**
     * Proposes a command.
     *
     * @param command the command
     * @return the reply, or a {@link org.cicadahead.protocol.NotLeader} if the command is certainly not committed;
     *     fails if the command may be committed
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
     * Returns the members of the replica group.
     *
     * @return the members
     */
    List<MemberView> members();

    /**
     * Adds a replica to the group, first as a non-voting member and then as a voter.
     *
     * @param replica the replica id
     * @param address host and port at which it serves daemons
     * @return completes once the replica has been added; fails with an {@link AdminException}
     */
    CompletableFuture<Void> addMember(String replica, String address);

    /**
     * Removes a replica from the group.
     *
     * @param replica the replica id
     * @return completes once the replica has been removed; fails with an {@link AdminException}
     */
    CompletableFuture<Void> removeMember(String replica);
}
