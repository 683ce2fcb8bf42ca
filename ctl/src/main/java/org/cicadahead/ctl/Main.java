package org.cicadahead.ctl;

import java.io.PrintWriter;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.cicadahead.model.ResourceKind;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.TypeConversionException;

/** The entry point of {@code cicadactl}. */
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
            "0:the command succeeded",
            "1:the command was rejected, or diff found a difference",
            "2:the command line, a settings file or a document is invalid",
            "3:the edit was based on a revision that is not the current one",
            "4:no control leader responded before the timeout"
        })
public final class Main {

    private Main() {}

    /**
     * Runs the command and exits with its exit code.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        Logger.getLogger("").setLevel(Level.WARNING);
        System.exit(run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args));
    }

    static int run(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .registerConverter(ResourceKind.class, Main::parseKind)
                .setExecutionExceptionHandler((failure, command, parsed) -> {
                    if (failure instanceof CtlException ctlException) {
                        command.getErr().println(ctlException.getMessage());
                        return ctlException.exitCode().code();
                    }
                    throw failure;
                })
                .setOut(out)
                .setErr(err)
                .execute(args);
    }

    private static ResourceKind parseKind(String text) {
        try {
            return ResourceKind.of(text);
        } catch (IllegalArgumentException e) {
            throw new TypeConversionException("expected routes, pools, organisations or keys, got '" + text + "'");
        }
    }
}
