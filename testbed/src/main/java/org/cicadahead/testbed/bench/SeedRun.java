package org.cicadahead.testbed.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadahead.model.Organisation;

/** All simulations of one deployment with one seed, and the values that follow from them. */
final class SeedRun {
    static final int SECONDS = 240;
    static final double HIGH_LOAD = 0.9;
    static final double OFFENDER_LOAD = 0.8;
    static final double LOSS_LOAD = 0.7;
    static final int OFFENDER = 0;

    /** The rate of an organisation is this many times its mean requests, so that rates add up to all engines at 80%. */
    private static final double RATE_MARGIN = 1.25;
    /** The burst is the requests of this time at the rate. */
    private static final double BURST_SECONDS = 10;

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double OFFENCE = 5;
    private static final double MEDIAN = 50;
    private static final double P95 = 95;
    private static final double LOSS_AT = 0.5;
    private static final long RECOVERY_MICROS = 5_000_000;

    final Deployment deployment;
    final long seed;
    final Map<String, Double> values = new LinkedHashMap<>();
    Results chosen;
    Results naive;

    SeedRun(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.seed = seed;
    }

    void run() {
        highLoad();
        offender();
        loss();
    }

    private void highLoad() {
        Workload workload = Workload.of(seed, deployment.engines, HIGH_LOAD, SECONDS);
        List<Organisation> organisations = organisations(workload);
        chosen = run(workload, Variant.CHOSEN, organisations, Simulation.NO_OFFENDER, -1);
        naive = run(workload, Variant.NAIVE, organisations, Simulation.NO_OFFENDER, -1);
        values.put("latency_p50_gain", naive.percentile(MEDIAN) / chosen.percentile(MEDIAN));
        values.put("latency_p95_gain", naive.percentile(P95) / chosen.percentile(P95));
        values.put("latency_max_ratio", chosen.max() / naive.max());
        values.put("unfinished_programs", (double) chosen.unfinished);
        values.put("wasted_cache_ratio", chosen.wasted() / Math.max(1.0, naive.wasted()));
        values.put("wrongful_refusals", (double) chosen.wrongful);
        values.put("over_admission", (double) chosen.overAdmitted);
        values.put("chosen_p50_ms", chosen.percentile(MEDIAN));
        values.put("chosen_p95_ms", chosen.percentile(P95));
        values.put("naive_p50_ms", naive.percentile(MEDIAN));
        values.put("naive_p95_ms", naive.percentile(P95));
        values.put("chosen_wasted_tokens", (double) chosen.wasted());
        values.put("naive_wasted_tokens", (double) naive.wasted());
        values.put("chosen_wasted_for_gone_tokens", (double) chosen.wastedForGone);
        values.put("chosen_recomputed_tokens", (double) chosen.recomputedTokens);
        values.put("naive_recomputed_tokens", (double) naive.recomputedTokens);
        values.put("refused_over_rate", (double) chosen.refusedOverRate);
    }

    private void offender() {
        Workload workload = Workload.of(seed, deployment.engines, OFFENDER_LOAD, SECONDS);
        List<Organisation> organisations = organisations(workload);
        Workload more = workload.withOffender(OFFENDER, OFFENCE * RATE_MARGIN, seed);
        Results without = run(workload, Variant.CHOSEN, organisations, OFFENDER, -1);
        Results with = run(more, Variant.CHOSEN, organisations, OFFENDER, -1);
        double service = Double.POSITIVE_INFINITY;
        double slowest = 0;
        for (int i = 0; i < Deployment.SHARES.length; i++) {
            if (i != OFFENDER) {
                service = Math.min(service, with.servedTokens[i] / without.servedTokens[i]);
                double before = without.percentile(P95, i, 0, Long.MAX_VALUE);
                slowest = Math.max(slowest, with.percentile(P95, i, 0, Long.MAX_VALUE) / before);
            }
        }
        values.put("offender_worst_service", service);
        values.put("offender_worst_p95_ratio", slowest);
        values.put("offender_wrongful_refusals", (double) with.wrongful + without.wrongful);
        Organisation offender = organisations.get(OFFENDER);
        double allowed = offender.ratePerSecond() * more.lengthMicros() / MICROS_PER_SECOND + offender.burst();
        values.put("offender_own_service_gain", with.servedTokens[OFFENDER] / without.servedTokens[OFFENDER]);
        values.put("offender_admitted_of_allowed", with.admitted[OFFENDER] / allowed);
        values.put("offender_refused_over_rate", (double) with.refusedOverRate);
        values.put("offender_refused_while_tokens_held", (double) with.refusedWhileHeld);
        values.put("offender_bucket_level_at_refusal", with.levelAtRefusal / Math.max(1, with.refusedOverRate));
        values.put("offender_over_admission", (double) with.overAdmitted + without.overAdmitted);
    }

    private void loss() {
        Workload workload = Workload.of(seed, deployment.engines, LOSS_LOAD, SECONDS);
        List<Organisation> organisations = organisations(workload);
        long at = (long) (workload.lengthMicros() * LOSS_AT);
        Results without = run(workload, Variant.CHOSEN, organisations, Simulation.NO_OFFENDER, -1);
        Results with = run(workload, Variant.CHOSEN, organisations, Simulation.NO_OFFENDER, at);
        long from = at + RECOVERY_MICROS;
        double before = without.percentile(P95, -1, from, Long.MAX_VALUE);
        values.put("loss_p95_ratio", with.percentile(P95, -1, from, Long.MAX_VALUE) / before);
        values.put("loss_wrongful_share", with.wrongful / (double) with.requests);
        values.put("loss_over_admission", (double) with.overAdmitted);
        values.put("loss_unfinished_programs", (double) with.unfinished);
    }

    private Results run(
            Workload workload, Variant variant, List<Organisation> organisations, int offender, long lossMicros) {
        return Simulation.run(workload, deployment, variant, organisations, seed, offender, lossMicros);
    }

    private static List<Organisation> organisations(Workload workload) {
        List<Organisation> organisations = new ArrayList<>();
        for (int i = 0; i < Deployment.SHARES.length; i++) {
            double rate = workload.requestRate(i) * RATE_MARGIN;
            long burst = Math.max(1, Math.round(rate * BURST_SECONDS));
            organisations.add(new Organisation(Simulation.organisationId(i), rate, burst, Deployment.weight(i)));
        }
        return organisations;
    }
}
