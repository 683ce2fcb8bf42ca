package org.cicadahead.testbed.bench;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cicadahead.model.Organisation;
import org.junit.jupiter.api.Test;

class SimulationTest {
    private static final int ENGINES = 6;
    private static final int SECONDS = 20;

    /** Guards against a load that is not the stated part of the capacity. */
    @Test
    void workloadHasTheStatedLoad() {
        Workload workload = Workload.of(7, ENGINES, 0.9, SECONDS);
        double work = workload.programs().stream()
                .mapToDouble(Workload.Spec::perfectMicros)
                .sum();
        assertThat(work / workload.lengthMicros() / ENGINES).isWithin(1e-4).of(0.9);
    }

    /** Guards against figures that a rerun with the same seed does not give again. */
    @Test
    void sameSeedGivesTheSameResult() {
        assertThat(run(Variant.CHOSEN, -1).finished).isEqualTo(run(Variant.CHOSEN, -1).finished);
    }

    /** Guards against programs that are lost on the way, which would improve the latencies. */
    @Test
    void everyProgramEndsInBothVersionsAndAfterALoss() {
        int programs = Workload.of(7, ENGINES, 0.9, SECONDS).programs().size();
        assertThat(run(Variant.CHOSEN, -1).finished).hasSize(programs);
        assertThat(run(Variant.NAIVE, -1).finished).hasSize(programs);
        assertThat(run(Variant.CHOSEN, 5_000_000).finished).hasSize(programs);
    }

    /** Guards against an exact bucket that lets an over-admission pass unseen. */
    @Test
    void exactBucketNoticesOneRequestTooMany() {
        ExactBucket bucket = new ExactBucket(2, 3);
        assertThat(bucket.take(0)).isTrue();
        assertThat(bucket.take(0)).isTrue();
        assertThat(bucket.take(0)).isTrue();
        assertThat(bucket.take(499_000)).isFalse();
        assertThat(bucket.take(1_000_000)).isTrue();
    }

    private static Results run(Variant variant, long lossMicros) {
        Workload workload = Workload.of(7, ENGINES, 0.9, SECONDS);
        List<Organisation> organisations = new ArrayList<>();
        for (int i = 0; i < Deployment.SHARES.length; i++) {
            organisations.add(new Organisation(Simulation.organisationId(i), 100, 100, Deployment.weight(i)));
        }
        return Simulation.run(
                workload, Deployment.RESORTE_VIVO, variant, organisations, 7, Simulation.NO_OFFENDER, lossMicros);
    }
}
