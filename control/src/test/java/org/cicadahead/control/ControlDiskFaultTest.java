package org.cicadahead.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.protocol.Done;
import org.cicadahead.protocol.EditReply;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.MessageCatalog;
import org.cicadahead.protocol.NotLeader;
import org.cicadahead.protocol.ProgramView;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.ReadProgram;
import org.cicadahead.protocol.StepReply;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.ControlClient;
import org.cicadahead.wire.PeerClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against control replicas that stay out of the group after their storage failed for a while. */
class ControlDiskFaultTest {
    /** The time within which a majority that can write accepts a change, in milliseconds. */
    private static final long ACCEPT_MILLIS = 3_000;

    private static final long LIMIT_SECONDS = 20;

    @TempDir
    Path folder;

    private final List<ControlNode> nodes = new ArrayList<>();
    private List<TestReplica> group;
    private ControlClient client;
    private int edits;

    @BeforeEach
    void start() throws Exception {
        group = TestReplica.group(folder, 3);
        for (TestReplica replica : group) {
            nodes.add(replica.start());
        }
        client = ControlClient.to(
                group.stream()
                        .map(r -> new InetSocketAddress(InetAddress.getLoopbackAddress(), r.port()))
                        .toList(),
                MessageCatalog.standard());
        call(edit(), EditReply.class, TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));
    }

    @AfterEach
    void stop() {
        client.close();
        nodes.forEach(node -> node.shutdown(0));
    }

    /** The second failure took the majority, because the first replica never came back. */
    @Test
    void replicasThatFailedInTurnServeAgain() throws Exception {
        Map<String, Boolean> before = await("all replicas are voters", this::voters, v -> voterCount(v) == 3);
        runStep(1);
        for (int i = 0; i < nodes.size(); i++) {
            failStorage(i);
            assertRefusesAtOnce(i);
            assertAccepted("while replica " + i + " fails");
            repairStorage(i);
            assertAccepted("after replica " + i + " can write again");
        }
        runStep(2);
        assertThat(await("all replicas are voters", this::voters, v -> voterCount(v) == 3))
                .isEqualTo(before);
        for (ControlNode node : nodes) {
            await("the replica is ready", node::isReady, ready -> ready);
        }
        assertThat(call(new ReadProgram(Samples.PROGRAM, 1), ProgramView.class, ACCEPT_MILLIS)
                        .history())
                .hasSize(2);
    }

    /** Makes each write of the hard state fail, and waits until the replica has noticed. */
    private void failStorage(int i) throws Exception {
        Files.createDirectories(blocker(i).resolve("blocked"));
        ControlNode node = nodes.get(i);
        await("replica " + i + " fails", () -> failed(node), failed -> failed);
    }

    private boolean failed(ControlNode node) throws Exception {
        call(edit(), EditReply.class, TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));
        return !node.isReady();
    }

    private void repairStorage(int i) throws Exception {
        Files.delete(blocker(i).resolve("blocked"));
        Files.delete(blocker(i));
        await("replica " + i + " is ready", nodes.get(i)::isReady, ready -> ready);
    }

    private Path blocker(int i) {
        return group.get(i).folder().resolve("log").resolve("hard-state.tmp");
    }

    /** Operators must be told the cause, and daemons must be sent to other replicas. */
    private void assertRefusesAtOnce(int i) throws Exception {
        long begin = System.nanoTime();
        HttpResponse<String> refusal = get(nodes.get(i), "status");
        assertThat(refusal.statusCode()).isEqualTo(503);
        assertThat(refusal.body()).contains("replica_out");
        assertThat(refusal.body()).contains("cannot write the hard state");
        PeerClient peer = PeerClient.to(
                new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), group.get(i).port()),
                MessageCatalog.standard());
        try {
            assertThat(peer.call(Samples.entrySync(0, 0, 0), ACCEPT_MILLIS).get(LIMIT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo(new NotLeader(""));
            assertThat(peer.call(edit(), ACCEPT_MILLIS).get(LIMIT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo(new NotLeader(""));
        } finally {
            peer.close();
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin)).isAtMost(ACCEPT_MILLIS);
    }

    private static HttpResponse<String> get(ControlNode node, String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + node.adminPort() + "/admin/v1/" + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer secret")
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    private void assertAccepted(String when) throws Exception {
        long begin = System.nanoTime();
        EditReply reply = call(edit(), EditReply.class, ACCEPT_MILLIS);
        assertWithMessage(when).that(reply.outcome().accepted()).isTrue();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
        assertWithMessage(when).that(millis).isAtMost(ACCEPT_MILLIS);
    }

    private PutResource edit() {
        edits++;
        return new PutResource(
                ResourceKind.ORGANISATION,
                "o" + edits,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("name", "o" + edits)
                        .put("rate_per_second", 1)
                        .put("burst", 4),
                0,
                RequestId.of("r" + edits));
    }

    private void runStep(int step) throws Exception {
        ProgramKey program = Samples.PROGRAM;
        StepReply begun = call(Samples.begin(program, step, "n" + step), StepReply.class, ACCEPT_MILLIS);
        assertThat(call(Samples.finish(program, step, begun.fence(), "a"), Done.class, ACCEPT_MILLIS)
                        .accepted())
                .isTrue();
    }

    /** Returns whether each member is a voter without lag, by replica id; empty if there is no leader. */
    private Map<String, Boolean> voters() throws Exception {
        Map<String, Boolean> voters = new TreeMap<>();
        for (ControlNode node : nodes) {
            HttpResponse<String> reply = get(node, "members");
            if (reply.statusCode() == 200) {
                for (JsonNode member : Codec.json().readTree(reply.body()).path("items")) {
                    voters.put(
                            member.path("replica").asText(),
                            member.path("voter").asBoolean()
                                    && member.path("lag_entries").asLong() == 0);
                }
                return voters;
            }
        }
        return voters;
    }

    private static long voterCount(Map<String, Boolean> voters) {
        return voters.values().stream().filter(voter -> voter).count();
    }

    private <R extends Message> R call(Message request, Class<R> type, long timeoutMillis) throws Exception {
        return client.call(request, type, timeoutMillis).get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private interface Probe<T> {
        T read() throws Exception;
    }

    private static <T> T await(String what, Probe<T> probe, Predicate<T> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (true) {
            T value = probe.read();
            if (condition.test(value)) {
                return value;
            }
            if (System.nanoTime() > deadline) {
                throw new AssertionError("timed out waiting until " + what + ": " + value);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
    }
}
