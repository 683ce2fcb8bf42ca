package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cicadahead.fleet.Standing;
import org.cicadahead.site.Repetition;
import org.cicadahead.site.SiteRoute;
import org.cicadahead.site.SiteService;
import org.cicadahead.site.WeightedService;
import org.junit.jupiter.api.Test;

/** Which programs go first when an organisation's rate is used up. */
class ProgramCensusTest {
    private final ProgramCensus census = new ProgramCensus();

    private static AdmittedRequest request(String program, Repetition repetition) {
        CallerRequest caller = new CallerRequest(
                "a",
                "POST",
                "/x/",
                "/x/",
                "h",
                List.of(),
                new byte[0],
                null,
                1_000,
                new ProgramLine(program, program, 5_000, 1_000),
                "",
                List.of(),
                100,
                -1,
                0);
        SiteRoute route = new SiteRoute(
                "r",
                "h",
                "/x/",
                repetition,
                false,
                false,
                0,
                true,
                0,
                1_000,
                100,
                0,
                1,
                List.of(new WeightedService("s", 1)));
        return new AdmittedRequest(caller, route, new SiteService("s", "", 0, null), null, 1_000);
    }

    /** Guards against a program that was only refused so far and is taken for one under way. */
    @Test
    void aProgramIsUnderWayOnceItWasAdmitted() {
        AdmittedRequest turn = request("p", Repetition.STREAM);
        assertThat(census.standing(turn, 0)).isEqualTo(Standing.BEGINNING);
        assertThat(census.standing(turn, 100)).isEqualTo(Standing.BEGINNING);
        census.begun(turn);
        assertThat(census.standing(turn, 200)).isEqualTo(Standing.UNDER_WAY);
    }

    /** Guards against a tool call that is refused before a turn, as its refusal ends the program. */
    @Test
    void callsGoFirst() {
        assertThat(census.standing(request("p", Repetition.NON_IDEMPOTENT), 0)).isEqualTo(Standing.CALL);
    }

    /** Guards against a program that loops and takes the rate of others, and against remembering that for ever. */
    @Test
    void aProgramThatLoopsGoesLast() {
        AdmittedRequest turn = request("loop", Repetition.STREAM);
        census.standing(turn, 0);
        census.begun(turn);
        Standing last = null;
        for (int i = 0; i < 60; i++) {
            last = census.standing(turn, i * 10L);
        }
        assertThat(last).isEqualTo(Standing.EXCESSIVE);
        assertThat(census.standing(turn, 20_000)).isEqualTo(Standing.UNDER_WAY);
    }
}
