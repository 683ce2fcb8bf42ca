package org.cicadahead.testbed;

import org.cicadahead.testbed.bench.BenchCommand;
import org.cicadahead.testbed.capacity.CapacityCommand;
import org.cicadahead.testbed.emulator.EngineCommand;
import org.cicadahead.testbed.emulator.ServiceCommand;
import org.cicadahead.testbed.fleet.FleetException;
import org.cicadahead.testbed.prove.ProveCommand;
import org.cicadahead.testbed.soak.SoakCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The entry point of the binary {@code testbed}. */
@Command(
        name = "testbed",
        mixinStandardHelpOptions = true,
        subcommands = {
            EngineCommand.class,
            ServiceCommand.class,
            QuickstartCommand.class,
            ProveCommand.class,
            LoadCommand.class,
            CapacityCommand.class,
            BenchCommand.class,
            SoakCommand.class
        })
public final class Main {

    private Main() {}

    /**
     * Runs the command line and exits with its code.
     *
     * @param args the arguments
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Main())
                .setExecutionExceptionHandler((failure, command, parsed) -> {
                    if (failure instanceof FleetException expected) {
                        command.getErr().println(expected.getMessage());
                        return 1;
                    }
                    throw failure;
                })
                .execute(args));
    }
}
