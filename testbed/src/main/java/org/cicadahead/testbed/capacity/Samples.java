package org.cicadahead.testbed.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cicadahead.model.DaemonId;
import org.cicadahead.model.EndpointId;
import org.cicadahead.model.EndpointKind;
import org.cicadahead.model.EndpointState;
import org.cicadahead.model.OrganisationId;
import org.cicadahead.model.PoolName;
import org.cicadahead.model.ProgramId;
import org.cicadahead.model.ProgramKey;
import org.cicadahead.model.RequestDigest;
import org.cicadahead.model.Role;
import org.cicadahead.model.ZoneName;
import org.cicadahead.protocol.Announcement;
import org.cicadahead.protocol.DaemonInfo;
import org.cicadahead.protocol.EndpointLoad;
import org.cicadahead.protocol.EndpointsDelta;
import org.cicadahead.protocol.GrantLine;
import org.cicadahead.protocol.GrantRequest;
import org.cicadahead.protocol.GrantUse;

/** Messages of typical size. */
final class Samples {
    static final DaemonId ENTRY = DaemonId.of("entry-1");
    static final PoolName POOL = PoolName.of("planning");
    static final ZoneName ZONE = ZoneName.of("zone-a");
    static final RequestDigest DIGEST = RequestDigest.of("0".repeat(64));

    private Samples() {}

    static OrganisationId organisation(int number) {
        return OrganisationId.of("organisation-" + number);
    }

    static ProgramKey program(int number) {
        return ProgramKey.of(organisation(number % 100), ProgramId.of("program-" + number));
    }

    static DaemonInfo daemon() {
        return new DaemonInfo(ENTRY, Set.of(Role.ENTRY), ZONE, 1_700_000_000_000L, "127.0.0.1:9000");
    }

    static Announcement announcement(int number) {
        return new Announcement(
                EndpointId.of("endpoint-" + number),
                1_700_000_000_000L,
                EndpointKind.ENGINE,
                Set.of(POOL),
                Set.of("model-" + number % 19),
                ZoneName.of("zone-" + number % 8),
                "127.0.0.1:9000",
                EndpointState.READY,
                16);
    }

    static EndpointLoad load() {
        return new EndpointLoad(3, 8, 12_000, 4_000, 900_000, 16);
    }

    static EndpointsDelta table(int endpoints) {
        List<Announcement> all = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            all.add(announcement(i));
        }
        return new EndpointsDelta(true, 7, endpoints, all, List.of());
    }

    static GrantRequest grants(int organisations, long round) {
        List<GrantLine> lines = new ArrayList<>();
        for (int i = 0; i < organisations; i++) {
            GrantUse use = new GrantUse("7-" + (round * organisations + i + 1), 1, true);
            lines.add(new GrantLine(organisation(i), 1, round < 0 ? List.of() : List.of(use)));
        }
        return new GrantRequest(ENTRY, 1_700_000_000_000L, lines);
    }
}
