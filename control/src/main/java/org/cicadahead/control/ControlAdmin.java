package org.cicadahead.control;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;
import org.cicadahead.grants.OrganisationGrantStats;
import org.cicadahead.grants.RateBuckets;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.Role;
import org.cicadahead.operator.AdminBackend;
import org.cicadahead.operator.AdminException;
import org.cicadahead.operator.AdminProblem;
import org.cicadahead.operator.FleetStatus;
import org.cicadahead.operator.FleetStatus.ConfigurationSpread;
import org.cicadahead.operator.FleetStatus.DaemonStatus;
import org.cicadahead.operator.FleetStatus.EndpointStatus;
import org.cicadahead.operator.FleetStatus.ServiceStatus;
import org.cicadahead.operator.MemberView;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.protocol.ReadProgram;
import org.cicadahead.state.ConfigurationTable;
import org.cicadahead.state.HistoryException;
import org.cicadahead.wire.Addresses;
import org.cicadahead.wire.PeerClient;

/** Implements the operations of the admin API on the tables of control. Thread-safe. */
final class ControlAdmin implements AdminBackend {
    private static final long FIND_ADMIN_TIMEOUT_MILLIS = 1_000;

    private final ControlService service;
    private final ControlStateMachine machine;
    private final Leadership leadership;
    private final GroupMembership membership;
    private final MessageCatalog catalog;

    ControlAdmin(
            ControlService service,
            ControlStateMachine machine,
            Leadership leadership,
            GroupMembership membership,
            MessageCatalog catalog) {
        this.service = service;
        this.machine = machine;
        this.leadership = leadership;
        this.membership = membership;
        this.catalog = catalog;
    }

    @Override
    public Optional<String> failure() {
        return membership.failure();
    }

    @Override
    public boolean isLeader() {
        return leadership.current().isPresent();
    }

    @Override
    public Optional<String> leaderAdminAddress() {
        String leader = leadership.leaderAddress();
        if (leader.isEmpty()) {
            return Optional.empty();
        }
        PeerClient client = PeerClient.to(Addresses.parse(leader), catalog);
        try {
            Message reply =
                    client.call(new FindAdmin(), FIND_ADMIN_TIMEOUT_MILLIS).get();
            return reply instanceof AdminAddress found ? Optional.of(found.address()) : Optional.empty();
        } catch (ExecutionException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } finally {
            client.close();
        }
    }

    @Override
    public <T> T configuration(Function<ConfigurationTable, T> reader) {
        return machine.read(state -> reader.apply(state.configuration()));
    }

    @Override
    public CompletableFuture<Message> propose(Command command) {
        return service.propose(command);
    }

    @Override
    public FleetStatus status() throws AdminException {
        Leadership.Lease lease = lease();
        LeaderTables tables = lease.tables();
        List<DaemonTable.LiveDaemon> daemons = tables.withDaemons(t -> t.list(lease.nowMillis()));
        List<EndpointTable.LiveEndpoint> endpoints = tables.withEndpoints(EndpointTable::list);
        List<OrganisationGrantStats> stats = tables.withBuckets(RateBuckets::grantStats);
        return machine.read(state -> new FleetStatus(
                leadership.leaderAddress(),
                tables.term(),
                configurationSpread(state.configuration().revision(), daemons),
                daemons.stream().map(d -> daemonStatus(d, lease.nowMillis())).toList(),
                endpoints.stream().map(ControlAdmin::endpointStatus).toList(),
                serviceStatus(stats),
                state.programs().size(),
                state.claims().size(),
                membership.list()));
    }

    @Override
    public void drain(EndpointId endpoint) throws AdminException {
        if (!lease().tables().withEndpoints(table -> table.drain(endpoint))) {
            throw new AdminException(AdminProblem.NOT_FOUND, "there is no live endpoint " + endpoint);
        }
    }

    @Override
    public Optional<ProgramView> program(ProgramKey program) throws AdminException {
        try {
            return service.program(new ReadProgram(program, 1));
        } catch (HistoryException e) {
            throw new AdminException(AdminProblem.INTERNAL, e.getMessage());
        }
    }

    @Override
    public List<MemberView> members() {
        return membership.list();
    }

    @Override
    public CompletableFuture<Void> addMember(String replica, String address) {
        return membership.add(replica, address);
    }

    @Override
    public CompletableFuture<Void> removeMember(String replica) {
        return membership.remove(replica);
    }

    private static ConfigurationSpread configurationSpread(long revision, List<DaemonTable.LiveDaemon> daemons) {
        List<Long> applied = daemons.stream()
                .map(DaemonTable.LiveDaemon::configurationRevision)
                .sorted()
                .toList();
        long lowest = applied.isEmpty() ? revision : applied.get(0);
        long highest = applied.isEmpty() ? revision : applied.get(applied.size() - 1);
        int behind = (int) applied.stream().filter(r -> r < revision).count();
        return new ConfigurationSpread(revision, lowest, highest, behind);
    }

    private static DaemonStatus daemonStatus(DaemonTable.LiveDaemon daemon, long nowMillis) {
        return new DaemonStatus(
                daemon.info().id().value(),
                daemon.info().roles().stream().map(Role::code).sorted().toList(),
                String.valueOf(daemon.info().zone()),
                daemon.info().address(),
                daemon.configurationRevision(),
                nowMillis - daemon.lastHeardMillis());
    }

    private static EndpointStatus endpointStatus(EndpointTable.LiveEndpoint live) {
        Announcement announcement = live.announcement();
        return new EndpointStatus(
                announcement.endpoint().value(),
                String.valueOf(announcement.kind()),
                String.valueOf(announcement.zone()),
                announcement.address(),
                String.valueOf(announcement.state()),
                live.draining(),
                announcement.pools().stream().map(PoolName::value).sorted().toList(),
                live.load() == null ? 0 : live.load().queued(),
                live.load() == null ? 0 : live.load().running(),
                announcement.capacity());
    }

    private static ServiceStatus serviceStatus(List<OrganisationGrantStats> stats) {
        Optional<OrganisationGrantStats> worst =
                stats.stream().min(Comparator.comparingDouble(OrganisationGrantStats::servedShare));
        return new ServiceStatus(
                worst.map(w -> w.organisation().value()).orElse(null),
                worst.map(OrganisationGrantStats::servedShare).orElse(1.0),
                stats.stream()
                        .mapToLong(OrganisationGrantStats::deniedWithinRate)
                        .sum(),
                stats.stream().mapToLong(OrganisationGrantStats::asked).sum(),
                stats.stream().mapToLong(OrganisationGrantStats::granted).sum());
    }

    private Leadership.Lease lease() throws AdminException {
        return leadership
                .current()
                .orElseThrow(() -> new AdminException(AdminProblem.NO_LEADER, "this replica is not the leader"));
    }
}
