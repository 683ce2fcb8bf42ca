package org.cicadahead.testbed.bench;

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

    @Override
    public Integer call() throws Exception {
        List<Figure> figures = new ArrayList<>();
        for (Deployment deployment : Deployment.values()) {
            List<SeedRun> runs = VirtualBench.run(deployment, seed, seeds);
            List<Figure> measured = VirtualBench.figures(deployment, runs);
            measured.forEach(figure -> print(figure.line()));
            figures.addAll(measured);
        }
        return figures.stream().allMatch(Figure::passes) ? 0 : 1;
    }

    private void print(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }
}
