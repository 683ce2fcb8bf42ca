package org.cicadahead.testbed.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.RouteName;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.replication.ReplicatedNode;
import org.cicadahead.replication.ReplicationConfig;
import org.cicadahead.replication.StateMachine;
import org.cicadahead.replication.StateSnapshot;
import org.cicadahead.testbed.fleet.Ports;
import org.cicadahead.wire.PeerServer;

/** How many commands a second three replicas on one disk commit, with a state machine that does nothing. */
final class CommitRate {
    private static final int REPLICAS = 3;
    private static final long MEASURE_MILLIS = 4_000;
    private static final long ELECTION_LIMIT_MILLIS = 10_000;
    private static final long POLL_MILLIS = 20;
    private static final double MILLIS_PER_SECOND = 1_000;

    private CommitRate() {}

    static double perSecond(int inFlight) throws Exception {
        Path folder = Files.createTempDirectory("cicadahead-capacity");
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            addresses.add("127.0.0.1:" + Ports.free());
        }
        List<ReplicatedNode> nodes = new ArrayList<>();
        List<PeerServer> servers = new ArrayList<>();
        ExecutorService workers = Executors.newFixedThreadPool(REPLICAS);
        MessageCatalog catalog = ReplicatedNode.catalog(MessageCatalog.standard());
        try {
            for (String address : addresses) {
                Path data = Files.createDirectories(folder.resolve("r" + nodes.size()));
                ReplicatedNode node = ReplicatedNode.start(
                        ReplicationConfig.of(data, address, addresses, true), new IdleMachine(), catalog);
                int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
                servers.add(PeerServer.start(new InetSocketAddress("127.0.0.1", port), catalog, workers, node));
                nodes.add(node);
            }
            return measure(leader(nodes), inFlight);
        } finally {
            nodes.forEach(ReplicatedNode::close);
            servers.forEach(PeerServer::close);
            workers.shutdownNow();
            delete(folder);
        }
    }

    private static double measure(ReplicatedNode leader, int inFlight) throws InterruptedException {
        Semaphore slots = new Semaphore(inFlight);
        AtomicInteger committed = new AtomicInteger();
        long began = System.nanoTime();
        long end = began + TimeUnit.MILLISECONDS.toNanos(MEASURE_MILLIS);
        int number = 0;
        while (System.nanoTime() < end) {
            slots.acquire();
            leader.propose(command(number++)).whenComplete((reply, failure) -> {
                slots.release();
                if (failure == null) {
                    committed.incrementAndGet();
                }
            });
        }
        return committed.get() / (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) / MILLIS_PER_SECOND);
    }

    private static ReplicatedNode leader(List<ReplicatedNode> nodes) throws InterruptedException {
        for (long waited = 0; waited < ELECTION_LIMIT_MILLIS; waited += POLL_MILLIS) {
            for (ReplicatedNode node : nodes) {
                if (node.holdsLease(ReplicatedNode.monotonicMillis())) {
                    return node;
                }
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        throw new IllegalStateException("no leader was elected");
    }

    private static Command command(int number) {
        return new BeginClaim(
                ClaimKey.of(Samples.organisation(1), IdempotencyKey.of("key-" + number)),
                Samples.DIGEST,
                RouteName.of("booking"),
                Samples.ENTRY,
                "nonce-" + number);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** Answers each command and keeps nothing. */
    private static final class IdleMachine implements StateMachine {

        @Override
        public Message apply(long index, long leaderMillis, Command command) {
            return Done.ok();
        }

        @Override
        public StateSnapshot prepareSnapshot() {
            return new StateSnapshot() {
                @Override
                public void write(OutputStream out) throws IOException {
                    out.write(0);
                }

                @Override
                public void close() {}
            };
        }

        @Override
        public void restore(InputStream in) throws IOException {
            in.readAllBytes();
        }
    }
}
