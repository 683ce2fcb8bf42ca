package org.cicadahead.ctl;

import java.io.PrintWriter;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.cicadahead.model.ResourceKind;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.TypeConversionException;

/** The entry point of the binary {@code cicadactl}. */
@Command(
        name = "cicadactl",
        mixinStandardHelpOptions = true,
        version = "cicadactl 0.1.0-SNAPSHOT",
        description = "Reads and changes the configuration of a cicadahead fleet.",
        subcommands = {
            ResourceCommands.Get.class,
            ResourceCommands.Apply.class,
            ResourceCommands.Diff.class,
            ResourceCommands.Delete.class,
            KeysCommand.class,
            ExportCommand.class,
            FleetCommands.Status.class,
            FleetCommands.Drain.class,
            FleetCommands.Members.class,
            FleetCommands.Explain.class,
            TraceCommand.class,
            AutoComplete.GenerateCompletion.class
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:done",
            "1:refused, or diff found a difference",
            "2:the command line, a settings file or a document is not valid",
            "3:the edit was based on another revision",
            "4:no leader of control answered in time"
        })
public final class Main {

    private Main() {}

    /**
     * Runs the command line and exits with its code.
     *
     * @param args the arguments
     */
    public static void main(String[] args) {
        Logger.getLogger("").setLevel(Level.WARNING);
        System.exit(run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args));
    }

    static int run(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .registerConverter(ResourceKind.class, Main::kind)
                .setExecutionExceptionHandler((failure, command, parsed) -> {
                    if (failure instanceof CtlException expected) {
                        command.getErr().println(expected.getMessage());
                        return expected.exitCode().code();
                    }
                    throw failure;
                })
                .setOut(out)
                .setErr(err)
                .execute(args);
    }

    private static ResourceKind kind(String text) {
        try {
            return ResourceKind.of(text);
        } catch (IllegalArgumentException e) {
            throw new TypeConversionException("expected routes, pools, organisations or keys, got '" + text + "'");
        }
    }
}
