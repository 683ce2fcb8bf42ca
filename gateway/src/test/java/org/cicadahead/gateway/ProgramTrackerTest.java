package org.cicadahead.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cicadahead.fleet.PriorityClass;
import org.cicadahead.site.Repetition;
import org.cicadahead.site.SiteOrganisation;
import org.cicadahead.site.SiteRoute;
import org.cicadahead.site.SiteService;
import org.cicadahead.site.WeightedService;
import org.junit.jupiter.api.Test;

/** Tests the priority classes of programs, which decide the order of admission when a rate is used up. */
class ProgramTrackerTest {
    private final ProgramTracker tracker = new ProgramTracker();

    private static AdmittedRequest request(String program, Repetition repetition) {
        return request(program, repetition, 1, null);
    }

    private static AdmittedRequest request(
            String program, Repetition repetition, int routePriority, SiteOrganisation organisation) {
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
                new ProgramContext(program, program, 5_000, 1_000),
                "",
                List.of(),
                List.of(),
                100,
                -1,
                "",
                0,
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
                false,
                routePriority,
                1_000,
                100,
                0,
                1,
                List.of(new WeightedService("s", 1)));
        return new AdmittedRequest(
                caller, route, new SiteService("s", "", 0, null), organisation, AffinityKey.NONE, 1_000);
    }

    /**
     * A program whose requests were all refused must not count as running, or it would get priority over other new
     * ones.
     */
    @Test
    void aProgramIsRunningOnceAdmitted() {
        AdmittedRequest turn = request("p", Repetition.STREAM);
        assertThat(tracker.priority(turn, 0)).isEqualTo(PriorityClass.NEW);
        assertThat(tracker.priority(turn, 100)).isEqualTo(PriorityClass.NEW);
        tracker.markStarted(turn);
        assertThat(tracker.priority(turn, 200)).isEqualTo(PriorityClass.RUNNING);
    }

    /** Tool calls must have priority over turns, because the refusal of a tool call ends its program. */
    @Test
    void callsHavePriority() {
        assertThat(tracker.priority(request("p", Repetition.NON_IDEMPOTENT), 0)).isEqualTo(PriorityClass.CALL);
    }

    /**
     * A program in an endless loop must get the lowest priority, or it would use up the rate of its organisation. It
     * must recover its priority after a pause.
     */
    @Test
    void aLoopingProgramGoesLast() {
        AdmittedRequest turn = request("loop", Repetition.STREAM);
        tracker.priority(turn, 0);
        tracker.markStarted(turn);
        PriorityClass last = null;
        for (int i = 0; i < 60; i++) {
            last = tracker.priority(turn, i * 10L);
        }
        assertThat(last).isEqualTo(PriorityClass.EXCESSIVE);
        assertThat(tracker.priority(turn, 20_000)).isEqualTo(PriorityClass.RUNNING);
    }

    /** The first turns of urgent programs rank before others; an organisation's own priority overrides the route's. */
    @Test
    void firstTurnsRankByPriority() {
        SiteOrganisation urgent = new SiteOrganisation("o", List.of(), 10, 10, 0);
        SiteOrganisation patient = new SiteOrganisation("o", List.of(), 10, 10, 2);
        assertThat(tracker.priority(request("a", Repetition.STREAM, 0, null), 0))
                .isEqualTo(PriorityClass.URGENT_NEW);
        assertThat(tracker.priority(request("b", Repetition.STREAM, 1, urgent), 0))
                .isEqualTo(PriorityClass.URGENT_NEW);
        assertThat(tracker.priority(request("c", Repetition.STREAM, 0, patient), 0))
                .isEqualTo(PriorityClass.NEW);
    }
}
