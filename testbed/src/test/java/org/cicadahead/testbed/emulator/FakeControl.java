package org.cicadahead.testbed.emulator;

import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.protocol.CheckPrograms;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.EndedDelta;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.PoisonTable;
import org.cicadahead.protocol.ProgramsGone;
import org.cicadahead.protocol.Sync;
import org.cicadahead.protocol.SyncReply;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;

/** Control as an endpoint daemon sees it, over TCP, with what it was sent. */
final class FakeControl implements Closeable {
    private final ExecutorService workers = Executors.newFixedThreadPool(2);
    final List<Message> received = new CopyOnWriteArrayList<>();
    final List<ProgramKey> ended = new CopyOnWriteArrayList<>();
    final AtomicBoolean draining = new AtomicBoolean();
    final Set<String> silentTypes = java.util.concurrent.ConcurrentHashMap.newKeySet();
    volatile Predicate<ProgramKey> gone = program -> false;
    volatile PoisonTable poison = new PoisonTable(0, List.of());
    private final PeerServer server;

    FakeControl() throws WireException {
        server = PeerServer.start(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                MessageCatalog.standard(),
                workers,
                this::handle);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
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
        if (silentTypes.contains(request.getClass().getSimpleName())) {
            return;
        }
        if (request instanceof Sync sync) {
            EndedDelta delta = sync.endedVersion() >= 0 && sync.endedVersion() < ended.size()
                    ? new EndedDelta(false, ended.size(), ended.subList((int) sync.endedVersion(), ended.size()))
                    : null;
            PoisonTable table = poison.version() > sync.poisonVersion() ? poison : null;
            responder.reply(new SyncReply(2_000, null, null, delta, table, draining.get()));
        } else if (request instanceof CheckPrograms check) {
            Set<ProgramKey> result = new HashSet<>(check.programs());
            result.removeIf(gone.negate());
            responder.reply(new ProgramsGone(List.copyOf(result)));
        } else {
            responder.reply(Done.ok());
        }
    }
}
