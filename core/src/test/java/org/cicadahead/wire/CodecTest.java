package org.cicadahead.wire;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadahead.model.ClaimKey;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.IdempotencyKey;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.QueuePolicy;
import org.cicadahead.model.RefusalReason;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.Role;
import org.cicadahead.model.RouteName;
import org.cicadahead.model.RunId;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.ClaimRef;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.GrantReply;
import org.cicadahead.protocol.RunEnd;
import org.cicadahead.protocol.RunRequest;
import org.cicadahead.protocol.Sync;
import org.junit.jupiter.api.Test;

/** Guards against messages that are altered by encoding and decoding. */
class CodecTest {
    private static final ProgramKey PROGRAM = ProgramKey.of(OrganisationId.of("smiths"), ProgramId.of("p1"));

    @Test
    void syncRoundTrips() throws Exception {
        DaemonInfo daemon =
                new DaemonInfo(DaemonId.of("e1"), Set.of(Role.ENDPOINT), ZoneName.of("a"), 7, "127.0.0.1:1");
        Announcement announcement = new Announcement(
                EndpointId.of("engine-1"),
                7,
                EndpointKind.ENGINE,
                Set.of(PoolName.of("planning")),
                Set.of("m1"),
                ZoneName.of("a"),
                "127.0.0.1:1",
                EndpointState.READY,
                8);
        Sync sync = new Sync(daemon, 1, 2, 3, 4, 5, announcement, new EndpointLoad(1, 2, 3, 4, 5, 6));
        assertThat(Codec.unpack(Codec.pack(sync), Sync.class)).isEqualTo(sync);
    }

    @Test
    void runRequestRoundTrips() throws Exception {
        RunRequest request = new RunRequest(
                RunId.of("r1"),
                OrganisationId.of("smiths"),
                1.5,
                PROGRAM,
                PROGRAM,
                12,
                new ClaimRef(ClaimKey.of(OrganisationId.of("smiths"), IdempotencyKey.of("k")), 3),
                RouteName.of("route"),
                QueuePolicy.FAIR,
                RequestDigest.of("0".repeat(64)),
                false,
                "POST",
                "/v1/chat/completions",
                Map.of("content-type", "application/json"),
                new byte[] {1, 2, 3},
                true,
                10,
                20,
                30);
        RunRequest copy = Codec.unpack(Codec.pack(request), RunRequest.class);
        assertThat(copy.claim()).isEqualTo(request.claim());
        assertThat(copy.program()).isEqualTo(PROGRAM);
        assertThat(copy.headers()).isEqualTo(request.headers());
        assertThat(copy.body()).isEqualTo(request.body());
    }

    @Test
    void refusalRoundTrips() throws Exception {
        RunEnd end = new RunEnd(RunId.of("r1"), 0, 0, "", RefusalReason.ENDPOINT_LEAVING, true, "leaving", null, null);
        assertThat(Codec.unpack(Codec.pack(end), RunEnd.class)).isEqualTo(end);
    }

    @Test
    void absentListsBecomeEmpty() throws Exception {
        assertThat(Codec.unpack(Codec.pack(Map.of("validMillis", 5)), GrantReply.class))
                .isEqualTo(new GrantReply(5, List.of()));
    }
}
