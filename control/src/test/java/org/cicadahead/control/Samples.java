package org.cicadahead.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
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
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.Role;
import org.cicadahead.model.RouteName;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.BeginClaim;
import org.cicadahead.protocol.BeginStep;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.protocol.FinishStep;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.protocol.StepRef;
import org.cicadahead.protocol.Sync;

/** Sample messages of daemons, shared by several tests. */
final class Samples {
    static final OrganisationId ACME = OrganisationId.of("acme");
    static final ProgramKey PROGRAM = program("p1");
    static final ClaimKey CLAIM = ClaimKey.of(ACME, IdempotencyKey.of("k1"));
    static final RequestDigest DIGEST = RequestDigest.of("ab".repeat(32));
    static final EndpointId E1 = EndpointId.of("e1");
    static final DaemonId ENTRY = DaemonId.of("entry-1");
    static final GrantRequest GRANT = new GrantRequest(ENTRY, 1, List.of(new GrantLine(ACME, 1, List.of())));

    private Samples() {}

    static ProgramKey program(String id) {
        return ProgramKey.of(ACME, ProgramId.of(id));
    }

    static BeginStep begin(ProgramKey program, int step, String nonce) {
        return new BeginStep(program, null, step, DIGEST, RouteName.of("chat"), 1, 1_000, 99, 60_000, 0, ENTRY, nonce);
    }

    static FinishStep finish(ProgramKey program, int step, long fence, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new FinishStep(new StepRef(program, step, fence), 1, bytes, bytes, false);
    }

    static BeginClaim beginClaim(String nonce) {
        return new BeginClaim(CLAIM, DIGEST, RouteName.of("book"), ENTRY, nonce);
    }

    static Announcement endpoint(String id, long generation, EndpointState state) {
        return new Announcement(
                EndpointId.of(id),
                generation,
                EndpointKind.ENGINE,
                Set.of(PoolName.of("pool")),
                Set.of("m"),
                ZoneName.of("a"),
                "127.0.0.1:9",
                state,
                4);
    }

    static Sync entrySync(long revision, long epoch, long version) {
        return new Sync(daemon(Role.ENTRY), revision, epoch, version, -1, 0, null, null);
    }

    static Sync endpointSync(long generation) {
        Announcement announcement = endpoint("e1", generation, EndpointState.READY);
        return new Sync(daemon(Role.ENDPOINT), 0, 0, 0, 0, 0, announcement, null);
    }

    private static DaemonInfo daemon(Role role) {
        return new DaemonInfo(DaemonId.of("d-" + role.code()), Set.of(role), ZoneName.of("a"), 1, "127.0.0.1:3");
    }
}
