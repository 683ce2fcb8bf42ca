package org.cicadahead.testbed.bench;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The subcommand {@code bench}: measures the targets and prints one line per figure. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures the targets of docs/design.md, section 1.2.")
public final class BenchCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", defaultValue = "1", description = "The first seed. Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--seeds", defaultValue = "5", description = "How many seeds. Default: ${DEFAULT-VALUE}.")
    private int seeds;

    @Option(names = "--out", paramLabel = "DIR", description = "Writes a report with plots into this folder.")
    private Path out;

    @Option(names = "--part", defaultValue = "ALL", description = "VIRTUAL, PROCESSES or ALL. Default: ALL.")
    private Part part;

    /** Which figures are measured. */
    private enum Part {
        ALL,
        VIRTUAL,
        PROCESSES
    }

    @Override
    public Integer call() throws Exception {
        List<Figure> figures = new ArrayList<>();
        BenchReport report = out == null ? null : new BenchReport(out);
        if (part != Part.PROCESSES) {
            for (Deployment deployment : Deployment.values()) {
                List<SeedRun> runs = VirtualBench.run(deployment, seed, seeds);
                figures.addAll(print(VirtualBench.figures(deployment, runs)));
                if (report != null) {
                    report.plot(runs.get(0));
                }
            }
        }
        if (part != Part.VIRTUAL) {
            figures.addAll(print(ProcessBench.run()));
        }
        if (report != null) {
            report.write(seed, seeds, figures);
        }
        return figures.stream().allMatch(Figure::passes) ? 0 : 1;
    }

    private List<Figure> print(List<Figure> figures) {
        figures.forEach(figure -> spec.commandLine().getOut().println(figure.line()));
        spec.commandLine().getOut().flush();
        return figures;
    }
}
