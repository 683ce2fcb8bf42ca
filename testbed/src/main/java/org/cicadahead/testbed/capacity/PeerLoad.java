package org.cicadahead.testbed.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.Sync;
import org.cicadahead.protocol.SyncReply;
import org.cicadahead.wire.PeerClient;
import org.cicadahead.wire.PeerServer;

/**
 * What idle peers cost with two heartbeats a second each, both sides in this process. Immutable.
 *
 * @param corePercent processor time in percent of one core
 * @param residentBytes resident memory above that without peers, in bytes
 */
record PeerLoad(double corePercent, double residentBytes) {
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long MEASURE_MILLIS = 5_000;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long BYTES_PER_KILOBYTE = 1_024;

    static PeerLoad of(int peers) throws Exception {
        long before = resident();
        ExecutorService workers = Executors.newFixedThreadPool(4);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        List<PeerClient> clients = new ArrayList<>();
        InetAddress loopback = InetAddress.getLoopbackAddress();
        SyncReply reply = new SyncReply(2_000, null, null, null, null, false);
        try (PeerServer server = PeerServer.start(
                new InetSocketAddress(loopback, 0),
                MessageCatalog.standard(),
                workers,
                (request, responder) -> responder.reply(reply))) {
            for (int i = 0; i < peers; i++) {
                PeerClient client =
                        PeerClient.to(new InetSocketAddress(loopback, server.port()), MessageCatalog.standard());
                clients.add(client);
                long offset = i * HEARTBEAT_MILLIS / peers;
                timer.scheduleAtFixedRate(
                        () -> client.call(sync(), CALL_TIMEOUT_MILLIS),
                        offset,
                        HEARTBEAT_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
            long cpu = cpuNanos();
            TimeUnit.MILLISECONDS.sleep(MEASURE_MILLIS);
            double percent = 100 * (cpuNanos() - cpu) / (MEASURE_MILLIS * NANOS_PER_MILLI);
            return new PeerLoad(percent, Math.max(0, resident() - before));
        } finally {
            timer.shutdownNow();
            clients.forEach(PeerClient::close);
            workers.shutdownNow();
        }
    }

    private static Sync sync() {
        return new Sync(Samples.daemon(), 470, 7, 1_200, -1, 3, null, null);
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    /** Returns the resident memory that the kernel reports for this process. */
    private static long resident() throws IOException {
        System.gc();
        for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KILOBYTE;
            }
        }
        throw new IOException("the kernel does not report VmRSS");
    }
}
