package org.cicadahead.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import org.cicadahead.grants.Rate;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.Role;
import org.cicadahead.operator.ResourceValidator;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.CheckPrograms;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.EditReply;
import org.cicadahead.protocol.EndpointsDelta;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.NotLeader;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.protocol.ProgramsGone;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.ReadProgram;
import org.cicadahead.protocol.Refused;
import org.cicadahead.protocol.StepOutcome;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.protocol.Sync;
import org.cicadahead.protocol.SyncReply;
import org.cicadahead.replication.ReplicatedLog;
import org.cicadahead.replication.ReplicationException;
import org.cicadahead.state.ControlState;
import org.cicadahead.state.HistoryException;
import org.cicadahead.wire.PeerHandler;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;
import org.jboss.logging.Logger;

/** Serves the requests of daemons. Thread-safe. */
final class ControlService implements PeerHandler {
    /** How long a daemon may use its configuration, in milliseconds from when it sent its last answered heartbeat. */
    static final long CONFIGURATION_LEASE_MILLIS = 2_000;

    private static final Logger LOG = Logger.getLogger("cicadahead.control");

    private final ReplicatedLog log;
    private final ControlStateMachine machine;
    private final HistoryStore histories;
    private final Leadership leadership;
    private final OrganisationRates rates;
    private final ControlMetrics metrics;
    private final Executor workers;
    private final Map<Class<? extends Message>, ReadHandler> readHandlers = new HashMap<>();

    ControlService(
            ReplicatedLog log,
            ControlStateMachine machine,
            HistoryStore histories,
            Leadership leadership,
            ControlMetrics metrics,
            Executor workers) {
        this.log = log;
        this.machine = machine;
        this.histories = histories;
        this.leadership = leadership;
        this.rates = new OrganisationRates(machine);
        this.metrics = metrics;
        this.workers = workers;
        readHandlers.put(Sync.class, (lease, request) -> sync(lease, (Sync) request));
        readHandlers.put(GrantRequest.class, (lease, request) -> grant(lease, (GrantRequest) request));
        readHandlers.put(ReadProgram.class, (lease, request) -> readProgram((ReadProgram) request));
        readHandlers.put(CheckPrograms.class, (lease, request) -> checkPrograms((CheckPrograms) request));
    }

    @Override
    public void handle(Message request, Responder responder) throws WireException {
        if (request instanceof Command command) {
            propose(command).whenCompleteAsync((reply, failure) -> answer(responder, reply, failure), workers);
            return;
        }
        ReadHandler handler = readHandlers.get(request.getClass());
        if (handler == null) {
            throw new WireException(
                    WireException.Kind.MALFORMED,
                    "control does not serve " + request.getClass().getSimpleName());
        }
        responder.reply(answer(request, handler));
    }

    /**
     * Proposes a command and adds the history to its reply where needed.
     *
     * @param command the command
     * @return the reply, or {@link NotLeader} if the command is certainly not committed; fails with a {@link
     *     ReplicationException} if the command may be committed
     */
    CompletableFuture<Message> propose(Command command) {
        if (command instanceof PutResource put) {
            Optional<EditReply> invalid = ResourceValidator.validate(put);
            if (invalid.isPresent()) {
                metrics.count(command, invalid.get());
                return CompletableFuture.completedFuture(invalid.get());
            }
        }
        return log.propose(command).handleAsync((reply, failure) -> complete(command, reply, failure), workers);
    }

    /** Returns a program with its history from the requested step on, or empty if the program is not known. */
    Optional<ProgramView> program(ReadProgram request) throws HistoryException {
        Optional<ProgramView> found = machine.read(state -> state.programs().view(request.program()));
        if (found.isEmpty()) {
            return found;
        }
        ProgramView view = found.get();
        List<HistoryRecord> history = histories.read(request.program(), request.fromStep(), view.nextStep() - 1);
        return Optional.of(new ProgramView(
                view.program(),
                view.root(),
                view.nextStep(),
                view.spentTokens(),
                view.reservedTokens(),
                view.budgetTokens(),
                view.ended(),
                history));
    }

    private Message answer(Message request, ReadHandler handler) throws WireException {
        Optional<Leadership.Lease> lease = leadership.current();
        if (lease.isEmpty()) {
            return new NotLeader(leadership.leaderAddress());
        }
        try {
            return metrics.count(handler.answer(lease.get(), request));
        } catch (HistoryException e) {
            LOG.errorf(e, "control: Cannot answer %s", request.getClass().getSimpleName());
            throw new WireException(WireException.Kind.REMOTE, e.getMessage(), e);
        }
    }

    private void answer(Responder responder, Message reply, Throwable failure) {
        if (failure == null) {
            responder.reply(reply);
        } else {
            Throwable cause = cause(failure);
            LOG.warnf("control: It is unknown whether a command was committed: %s", cause.getMessage());
            responder.fail(String.valueOf(cause.getMessage()));
        }
    }

    private Message complete(Command command, Message reply, Throwable failure) {
        if (failure != null) {
            Throwable cause = cause(failure);
            if (cause instanceof ReplicationException replication && !replication.mayBeCommitted()) {
                return new NotLeader(log.leaderAddress());
            }
            throw new CompletionException(cause);
        }
        metrics.count(command, reply);
        if (command instanceof BeginStep begin && reply instanceof StepReply step) {
            try {
                return withHistory(begin, step);
            } catch (HistoryException e) {
                throw new CompletionException(e);
            }
        }
        return reply;
    }

    /**
     * Adds the history to the reply. The steps before a granted one no longer change, so reading them after the command
     * gives the same result as reading them while it is applied.
     */
    private StepReply withHistory(BeginStep command, StepReply reply) throws HistoryException {
        List<HistoryRecord> history = List.of();
        if (reply.outcome() == StepOutcome.GRANTED) {
            history = histories.read(command.program(), command.knownSteps() + 1, command.step() - 1);
        } else if (reply.outcome() == StepOutcome.REPLAYED) {
            history = histories.read(command.program(), command.step(), command.step());
            if (history.isEmpty()) {
                return new StepReply(StepOutcome.ENDED, 0, reply.expectedStep(), history, reply.spentTokens());
            }
        }
        return new StepReply(reply.outcome(), reply.fence(), reply.expectedStep(), history, reply.spentTokens());
    }

    private Message sync(Leadership.Lease lease, Sync sync) {
        long now = lease.nowMillis();
        LeaderTables tables = lease.tables();
        boolean draining = tables.withEndpoints(
                table -> sync.announcement() != null && table.announce(now, sync.announcement(), sync.load()));
        tables.withDaemons(table -> {
            table.recordSync(now, sync);
            return null;
        });
        EndpointsDelta endpoints = sync.daemon().roles().contains(Role.ENTRY)
                ? tables.withEndpoints(table -> {
                    table.advance(now);
                    return table.since(sync.endpointsEpoch(), sync.endpointsVersion())
                            .orElse(null);
                })
                : null;
        return machine.read(state -> reply(state, sync, endpoints, draining));
    }

    private static SyncReply reply(ControlState state, Sync sync, EndpointsDelta endpoints, boolean draining) {
        boolean poisonChanged = state.poison().version() != sync.poisonVersion();
        return new SyncReply(
                CONFIGURATION_LEASE_MILLIS,
                state.configuration().since(sync.configurationRevision()).orElse(null),
                endpoints,
                sync.endedVersion() < 0
                        ? null
                        : state.programs().ended().since(sync.endedVersion()).orElse(null),
                poisonChanged ? state.poison().table() : null,
                draining);
    }

    private Message grant(Leadership.Lease lease, GrantRequest request) {
        Map<OrganisationId, Rate> current = rates.current();
        return lease.tables()
                .withBuckets(buckets -> buckets.serve(
                        lease.nowMillis(), request, organisation -> Optional.ofNullable(current.get(organisation))));
    }

    private Message readProgram(ReadProgram request) throws HistoryException {
        Optional<ProgramView> view = program(request);
        return view.isPresent()
                ? view.get()
                : new Refused(RefusalReason.PROGRAM_UNKNOWN, "the program " + request.program() + " does not exist");
    }

    private Message checkPrograms(CheckPrograms request) {
        return machine.read(state -> new ProgramsGone(request.programs().stream()
                .filter(p -> state.programs().isEndedOrUnknown(p))
                .toList()));
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    /** Answers one type of read request; only the leader may answer it. */
    @FunctionalInterface
    private interface ReadHandler {
        Message answer(Leadership.Lease lease, Message request) throws HistoryException;
    }
}
