package org.cicadahead.testbed.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The figures of the deciding packages in virtual time. */
final class VirtualBench {
    private static final Map<String, Target> TARGETS = targets();

    private record Target(double bound, boolean atMost) {}

    private VirtualBench() {}

    /** Runs all seeds of a deployment, in parallel as each is on its own. */
    static List<SeedRun> run(Deployment deployment, long firstSeed, int seeds) {
        List<SeedRun> runs = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            runs.add(new SeedRun(deployment, firstSeed + i));
        }
        runs.parallelStream().forEach(SeedRun::run);
        return runs;
    }

    static List<Figure> figures(Deployment deployment, List<SeedRun> runs) {
        List<Figure> figures = new ArrayList<>();
        for (String name : runs.get(0).values.keySet()) {
            double[] values =
                    runs.stream().mapToDouble(run -> run.values.get(name)).toArray();
            Target target = TARGETS.getOrDefault(name, new Target(Double.POSITIVE_INFINITY, true));
            figures.addAll(
                    List.of(Figure.over(deployment.label + "." + name, values, target.bound(), target.atMost())));
        }
        return figures;
    }

    /** The targets of section 1.2 of the design page. */
    private static Map<String, Target> targets() {
        Map<String, Target> targets = new LinkedHashMap<>();
        targets.put("latency_p50_gain", new Target(1.5, false));
        targets.put("latency_p95_gain", new Target(1.5, false));
        targets.put("latency_max_ratio", new Target(3, true));
        targets.put("unfinished_programs", new Target(0, true));
        targets.put("wasted_cache_ratio", new Target(0.2, true));
        targets.put("wrongful_refusals", new Target(0, true));
        targets.put("over_admission", new Target(0, true));
        targets.put("offender_worst_service", new Target(0.95, false));
        targets.put("offender_worst_p95_ratio", new Target(1.2, true));
        targets.put("offender_wrongful_refusals", new Target(0, true));
        targets.put("offender_over_admission", new Target(0, true));
        targets.put("loss_p95_ratio", new Target(1.2, true));
        targets.put("loss_over_admission", new Target(0, true));
        targets.put("loss_unfinished_programs", new Target(0, true));
        return Map.copyOf(targets);
    }
}
