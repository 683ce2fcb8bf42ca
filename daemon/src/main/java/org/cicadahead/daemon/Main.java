package org.cicadahead.daemon;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.cicadahead.node.NodeException;
import org.jboss.logging.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The entry point of the binary {@code cicadahead}. */
@Command(
        name = "cicadahead",
        mixinStandardHelpOptions = true,
        version = "cicadahead 0.1.0-SNAPSHOT",
        description = "Runs the roles control, entry and endpoint that its settings name.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:the settings are valid, or the daemon shut down gracefully",
            "1:an unforeseen failure",
            "2:the command line is not valid",
            "3:the settings file is refused",
            "4:a role cannot start",
            "5:the shutdown was cut off by its time limit"
        })
public final class Main implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "The settings in TOML.")
    private Path settings;

    @Option(names = "--check-settings", description = "Checks the settings and exits.")
    private boolean checkSettings;

    private Main() {}

    /**
     * Executes the command line and exits with the resulting code.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        Logging.install();
        System.exit(run(args));
    }

    static int run(String... args) {
        return new CommandLine(new Main()).execute(args);
    }

    @Override
    public Integer call() {
        Settings loaded;
        try {
            loaded = SettingsReader.read(settings);
        } catch (SettingsException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return ExitCode.SETTINGS.code();
        }
        if (checkSettings) {
            spec.commandLine().getOut().println(settings + ": the settings are valid");
            return ExitCode.OK.code();
        }
        Logging.configure(loaded.log());
        return serve(loaded);
    }

    private int serve(Settings loaded) {
        Logger log = Logger.getLogger("cicadahead.daemon");
        try {
            Daemon daemon = Daemon.start(loaded, new NodeStarter());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "daemon-signal"));
            new CountDownLatch(1).await();
            return ExitCode.OK.code();
        } catch (NodeException e) {
            log.errorf(e, "daemon: Cannot start: %s", e.getMessage());
            return ExitCode.START.code();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED.code();
        }
    }

    /** Halts with the documented exit code; without this, a JVM that is ended by SIGTERM exits with code 143. */
    private static void stop(Daemon daemon) {
        boolean inTime = daemon.shutdown();
        Runtime.getRuntime().halt((inTime ? ExitCode.OK : ExitCode.SHUTDOWN_TIMEOUT).code());
    }
}
