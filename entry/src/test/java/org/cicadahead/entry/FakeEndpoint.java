package org.cicadahead.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.Pong;
import org.cicadahead.protocol.RunChunk;
import org.cicadahead.protocol.RunEnd;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Usage;
import org.cicadahead.wire.PeerServer;
import org.cicadahead.wire.Responder;
import org.cicadahead.wire.WireException;

/** An endpoint daemon with configurable behaviour. */
final class FakeEndpoint implements AutoCloseable {
    static final EndpointLoad LOAD = new EndpointLoad(0, 0, 0, 0, 0, 8);
    final List<RunRequest> runs = new CopyOnWriteArrayList<>();
    volatile Behaviour behaviour = FakeEndpoint::respond;
    private final ExecutorService workers = Executors.newFixedThreadPool(4);
    private final PeerServer server;
    private final String id;

    /** Handles a run request. */
    interface Behaviour {
        void run(RunRequest request, Responder responder);
    }

    FakeEndpoint(String id) throws WireException {
        this.id = id;
        InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = PeerServer.start(loopback, MessageCatalog.standard(), workers, this::handle);
    }

    Announcement announcement(EndpointKind kind, String pool) {
        return new Announcement(
                EndpointId.of(id),
                1,
                kind,
                Set.of(PoolName.of(pool)),
                Set.of(),
                ZoneName.of("a"),
                InetAddress.getLoopbackAddress().getHostAddress() + ":" + server.port(),
                EndpointState.READY,
                8);
    }

    static void respond(RunRequest request, Responder responder) {
        List<String> parts = request.stream()
                ? List.of(event("Hel"), event("lo"))
                : List.of("{\"id\":\"c\",\"choices\":[{\"index\":0,\"message\":", completionEnd());
        for (int i = 0; i < parts.size(); i++) {
            responder.part(chunk(request, i, parts.get(i)));
        }
        responder.reply(end(request, parts.size()));
    }

    static String completionEnd() {
        return "{\"role\":\"assistant\",\"content\":\"Hello\"},\"finish_reason\":\"stop\"}]}";
    }

    static String event(String content) {
        return "data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content + "\"}}]}\n\n";
    }

    static RunChunk chunk(RunRequest request, long sequence, String data) {
        return new RunChunk(request.run(), sequence, data.getBytes(StandardCharsets.UTF_8));
    }

    static RunEnd end(RunRequest request, long chunks) {
        String type = request.stream() ? "text/event-stream" : "application/json";
        return new RunEnd(request.run(), chunks, 200, type, null, false, "", new Usage(10, 0, 5), LOAD);
    }

    static RunEnd refused(RunRequest request, RefusalReason reason, boolean notRun) {
        return new RunEnd(request.run(), 0, 0, "", reason, notRun, "", null, LOAD);
    }

    @Override
    public void close() {
        server.close();
        workers.shutdownNow();
    }

    private void handle(Message message, Responder responder) {
        if (message instanceof RunRequest request) {
            runs.add(request);
            behaviour.run(request, responder);
        } else {
            responder.reply(new Pong(EndpointState.READY, LOAD));
        }
    }
}
