package org.cicadahead.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.Resource;
import org.cicadahead.protocol.AbandonStep;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.ClaimOutcome;
import org.cicadahead.protocol.ClaimReply;
import org.cicadahead.protocol.ConfigurationDelta;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.EndProgram;
import org.cicadahead.protocol.EndpointsDelta;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.Grant;
import org.cicadahead.protocol.GrantReply;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.protocol.HistoryRecord;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.Outcome;
import org.cicadahead.protocol.PoisonTable;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.protocol.ReadProgram;
import org.cicadahead.protocol.ReleaseClaim;
import org.cicadahead.protocol.RenewSteps;
import org.cicadahead.protocol.ResourceChange;
import org.cicadahead.protocol.StepOutcome;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.protocol.StepsRenewed;
import org.cicadahead.protocol.Sync;
import org.cicadahead.protocol.SyncReply;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;

/** An in-memory control replica. Faults can be injected per message type; they replace the regular reply. */
final class FakeControl implements AutoCloseable {
    final List<Message> received = new CopyOnWriteArrayList<>();
    private final ExecutorService workers = Executors.newFixedThreadPool(4);
    private final Map<Class<?>, Fault> faults = new ConcurrentHashMap<>();
    private final Map<String, ResourceChange> resources = new LinkedHashMap<>();
    private final Map<String, Announcement> endpoints = new LinkedHashMap<>();
    private final Map<String, List<HistoryRecord>> programs = new HashMap<>();
    private final Map<ClaimKey, Long> fences = new HashMap<>();
    private final Map<ClaimKey, Outcome> outcomes = new HashMap<>();
    /** Source of fencing tokens, grant ids and versions of the endpoint table. */
    private final AtomicLong ids = new AtomicLong();

    private PoisonTable poison;
    private long revision;
    private final PeerServer server;

    /** Handles a request in place of the replica, possibly without a reply. */
    interface Fault {
        void handle(Message request, Responder responder);
    }

    FakeControl() throws WireException {
        InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = PeerServer.start(loopback, MessageCatalog.standard(), workers, this::handle);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    void fault(Class<? extends Message> type, Fault fault) {
        faults.put(type, fault);
    }

    void clearFault(Class<? extends Message> type) {
        faults.remove(type);
    }

    synchronized void put(Resource resource) {
        JsonNode body = Codec.json().valueToTree(resource);
        resources.put(
                resource.kind() + "/" + resource.resourceName(),
                new ResourceChange(resource.kind(), resource.resourceName(), ++revision, body));
    }

    synchronized void delete(Resource resource) {
        resources.remove(resource.kind() + "/" + resource.resourceName());
        revision++;
    }

    synchronized void announce(Announcement announcement) {
        endpoints.put(announcement.endpoint().value(), announcement);
        ids.incrementAndGet();
    }

    synchronized void poison(PoisonTable table) {
        poison = table;
    }

    synchronized void outcome(ClaimKey key, Outcome outcome) {
        outcomes.put(key, outcome);
    }

    <T extends Message> List<T> received(Class<T> type) {
        return received.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Override
    public void close() {
        server.close();
        workers.shutdownNow();
    }

    private void handle(Message request, Responder responder) {
        received.add(request);
        Fault fault = faults.get(request.getClass());
        if (fault == null) {
            responder.reply(reply(request));
        } else {
            fault.handle(request, responder);
        }
    }

    synchronized Message reply(Message request) {
        if (request instanceof Sync sync) {
            return sync(sync);
        } else if (request instanceof GrantRequest grants) {
            return new GrantReply(
                    1_000,
                    grants.lines().stream()
                            .map(line -> new Grant(
                                    line.organisation(), "g" + ids.incrementAndGet(), line.wanted(), 0, false))
                            .toList());
        } else if (request instanceof BeginStep begin) {
            return beginStep(begin);
        } else if (request instanceof FinishStep finish) {
            history(finish.step().program().toString())
                    .add(new HistoryRecord(finish.step().step(), finish.request(), finish.answer()));
            return Done.ok();
        } else if (request instanceof ReadProgram read) {
            List<HistoryRecord> history = history(read.program().toString());
            return new ProgramView(
                    read.program(), read.program(), history.size() + 1, 0, 0, 1_000, false, List.copyOf(history));
        } else if (request instanceof RenewSteps) {
            return new StepsRenewed(List.of());
        } else if (request instanceof BeginClaim begin) {
            return beginClaim(begin);
        } else if (request instanceof ReleaseClaim || request instanceof AbandonStep || request instanceof EndProgram) {
            return Done.ok();
        }
        throw new IllegalStateException("unexpected request " + request);
    }

    private SyncReply sync(Sync sync) {
        ConfigurationDelta delta = sync.configurationRevision() == revision
                ? null
                : new ConfigurationDelta(true, revision, new ArrayList<>(resources.values()));
        EndpointsDelta table = new EndpointsDelta(true, 1, ids.get(), new ArrayList<>(endpoints.values()), List.of());
        return new SyncReply(2_000, delta, table, null, poison, false);
    }

    private StepReply beginStep(BeginStep begin) {
        List<HistoryRecord> history = history(begin.program().toString());
        if (begin.step() <= history.size()) {
            return new StepReply(
                    StepOutcome.REPLAYED, 0, history.size() + 1, List.of(history.get(begin.step() - 1)), 0);
        }
        if (begin.step() > history.size() + 1) {
            return new StepReply(StepOutcome.OUT_OF_ORDER, 0, history.size() + 1, List.of(), 0);
        }
        List<HistoryRecord> missing = List.copyOf(history.subList(begin.knownSteps(), history.size()));
        return new StepReply(StepOutcome.GRANTED, ids.incrementAndGet(), begin.step(), missing, 0);
    }

    private ClaimReply beginClaim(BeginClaim begin) {
        Outcome outcome = outcomes.get(begin.key());
        if (outcome != null) {
            return new ClaimReply(ClaimOutcome.DONE, 0, outcome);
        }
        return new ClaimReply(ClaimOutcome.GRANTED, fences.merge(begin.key(), 1L, Long::sum), null);
    }

    private List<HistoryRecord> history(String program) {
        return programs.computeIfAbsent(program, key -> new ArrayList<>());
    }
}
