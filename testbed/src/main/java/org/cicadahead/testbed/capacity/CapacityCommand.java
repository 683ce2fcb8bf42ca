package org.cicadahead.testbed.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures each slope at four sizes and prints the values and the least-squares line. */
@Command(name = "capacity", mixinStandardHelpOptions = true, description = "Measures the slopes of docs/CAPACITY.md.")
public final class CapacityCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--only", description = "Measures the slopes whose name contains this text.")
    private String only = "";

    @Override
    public Integer call() throws Exception {
        for (Slope slope : Slope.values()) {
            if (slope.name().toLowerCase(Locale.ROOT).contains(only.toLowerCase(Locale.ROOT))) {
                report(slope);
            }
        }
        return 0;
    }

    private void report(Slope slope) throws Exception {
        List<Double> values = new ArrayList<>();
        for (long size : slope.sizes()) {
            double value = slope.measure(size);
            values.add(value);
            print(
                    "%s %s=%d %.3f %s",
                    slope.name().toLowerCase(Locale.ROOT), slope.sizeName(), size, value, slope.unit());
        }
        Line line = Line.through(slope.sizes(), values);
        print(
                "%s slope %.6f %s per unit, base %.3f",
                slope.name().toLowerCase(Locale.ROOT), line.slope(), slope.unit(), line.base());
    }

    private void print(String format, Object... values) {
        spec.commandLine().getOut().println(String.format(Locale.ROOT, format, values));
        spec.commandLine().getOut().flush();
    }
}
