package org.cicadahead.control;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.RequestId;
import org.cicadahead.model.ResourceKind;
import org.cicadahead.model.RouteName;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.ClearSuspects;
import org.cicadahead.protocol.Command;
import org.cicadahead.protocol.CrashReport;
import org.cicadahead.protocol.DeleteResource;
import org.cicadahead.protocol.EndProgram;
import org.cicadahead.protocol.FinishClaim;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.Message;
import org.cicadahead.protocol.OrphanClaims;
import org.cicadahead.protocol.Outcome;
import org.cicadahead.protocol.PutResource;
import org.cicadahead.protocol.StartClaim;
import org.cicadahead.protocol.StepRef;
import org.cicadahead.replication.StateSnapshot;
import org.cicadahead.wire.Codec;

/** Guards against replicas that diverge after one of them was restored from a snapshot. */
class ControlStateMachineTest {
    private static final OrganisationId ACME = OrganisationId.of("acme");

    /**
     * Compares, after each command, a replica that applied all commands with one that was restored from a snapshot at a
     * random point.
     */
    @Property(tries = 60)
    void restoredReplicaRepliesLikeTheOriginal(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        Path folder = Files.createTempDirectory("control-state");
        try (HistoryStore kept = HistoryStore.open(folder.resolve("kept"), 4_000);
                HistoryStore rebuilt = HistoryStore.open(folder.resolve("rebuilt"), 4_000)) {
            ControlStateMachine original = new ControlStateMachine(kept);
            ControlStateMachine restored = new ControlStateMachine(rebuilt);
            long now = 1_000_000;
            int restoreAt = random.nextInt(400);
            for (int i = 0; i < 600; i++) {
                now += random.nextInt(random.nextInt(100) == 0 ? 8_000_000 : 2_000);
                if (i == restoreAt) {
                    copy(original, restored);
                }
                long lastFence = original.read(state -> state.image().lastFence());
                Command command = command(random, lastFence - random.nextInt(4));
                // Replicas apply commands as decoded from the log, so a command must survive encoding and decoding.
                Command decoded = Codec.unpack(Codec.pack(command), command.getClass());
                Message answer = original.apply(i, now, command);
                if (i >= restoreAt) {
                    String difference = "seed " + seed + " command " + i + " " + command;
                    assertWithMessage(difference)
                            .that(text(restored.apply(i, now, decoded)))
                            .isEqualTo(text(answer));
                    compare(difference, kept, rebuilt);
                }
            }
            assertWithMessage("seed %s", seed).that(snapshot(restored)).isEqualTo(snapshot(original));
        } finally {
            deleteAll(folder);
        }
    }

    private static void compare(String label, HistoryStore kept, HistoryStore rebuilt) throws Exception {
        for (int number = 0; number < 4; number++) {
            assertWithMessage(label)
                    .that(text(rebuilt.read(program(number), 1, 99)))
                    .isEqualTo(text(kept.read(program(number), 1, 99)));
        }
    }

    private static void copy(ControlStateMachine from, ControlStateMachine to) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (StateSnapshot snapshot = from.prepareSnapshot()) {
            snapshot.write(bytes);
        }
        to.restore(new ByteArrayInputStream(bytes.toByteArray()));
    }

    private static String snapshot(ControlStateMachine machine) {
        return machine.read(state -> {
            try {
                return text(List.of(
                        state.image().lastFence(),
                        state.image().configuration(),
                        state.image().programs(),
                        state.image().claims()));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private static String text(Object value) throws IOException {
        return Codec.json().writeValueAsString(value);
    }

    private static Command command(Random random, long fence) {
        int number = random.nextInt(4);
        int step = 1 + random.nextInt(4);
        EndpointId endpoint = EndpointId.of("e" + random.nextInt(2));
        ClaimRef claim = new ClaimRef(claim(number), fence);
        RunId run = RunId.of("r" + random.nextInt(3));
        RequestId request = RequestId.of("q" + random.nextInt(300));
        byte[] text = (number + " " + step).getBytes(StandardCharsets.UTF_8);
        RouteName route = RouteName.of("chat");
        DaemonId entry = DaemonId.of("entry");
        String nonce = "n" + random.nextInt(30);
        return switch (random.nextInt(13)) {
            case 0, 1, 2 ->
                new BeginStep(
                        program(number),
                        number == 3 ? program(0).program() : null,
                        step,
                        digest(step),
                        route,
                        random.nextInt(50),
                        1_000,
                        50,
                        60_000,
                        0,
                        entry,
                        nonce);
            case 3, 4 -> new FinishStep(new StepRef(program(number), step, fence), 9, text, text, fence % 9 == 0);
            case 5 -> new EndProgram(program(number), random.nextBoolean() ? "idle_limit" : "caller");
            case 6 -> new BeginClaim(claim(number), digest(1), route, entry, nonce);
            case 7 -> new StartClaim(claim, endpoint, random.nextInt(3), run);
            case 8 ->
                new FinishClaim(
                        claim, run, random.nextBoolean() ? null : new Outcome(200, "text/plain", text, endpoint));
            case 9 -> new OrphanClaims(endpoint, random.nextInt(4));
            case 10 ->
                new PutResource(
                        ResourceKind.POOL,
                        "p" + number,
                        JsonNodeFactory.instance
                                .objectNode()
                                .put("name", "p" + number)
                                .put("v", random.nextInt(3)),
                        random.nextInt(6),
                        request);
            case 11 -> new DeleteResource(ResourceKind.POOL, "p" + number, random.nextInt(6), request);
            default ->
                random.nextBoolean()
                        ? new CrashReport(endpoint, "i" + random.nextInt(9), List.of(digest(number)))
                        : new ClearSuspects(List.of(digest(number)));
        };
    }

    private static ProgramKey program(int number) {
        return ProgramKey.of(ACME, ProgramId.of("p" + number));
    }

    private static ClaimKey claim(int number) {
        return ClaimKey.of(ACME, IdempotencyKey.of("k" + number));
    }

    private static RequestDigest digest(int number) {
        return RequestDigest.of(Integer.toString(number).repeat(64));
    }

    private static void deleteAll(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
