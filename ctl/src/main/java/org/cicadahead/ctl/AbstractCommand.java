package org.cicadahead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Function;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The base of all commands that call control. Provides the common options, the client and the output. */
@Command(mixinStandardHelpOptions = true)
abstract class AbstractCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "Settings file in TOML with admin, token, token_file. Default: $"
                    + CtlSettings.CONFIG_VARIABLE + ".")
    private Path config;

    @Option(
            names = "--admin",
            split = ",",
            paramLabel = "HOST:PORT",
            description = "Admin addresses of the control replicas. Default: $" + CtlSettings.ADMIN_VARIABLE + ".")
    private List<String> admin = List.of();

    @Option(
            names = "--token-file",
            paramLabel = "FILE",
            description = "File with the bearer token. Default: $" + CtlSettings.TOKEN_VARIABLE + ".")
    private Path tokenFile;

    @Option(
            names = "--timeout-millis",
            defaultValue = "10000",
            paramLabel = "N",
            description = "Timeout for reaching the control leader, in milliseconds. Default: ${DEFAULT-VALUE}.")
    private long timeoutMillis;

    @Option(
            names = {"-o", "--output"},
            defaultValue = "text",
            paramLabel = "FORMAT",
            description = "Output format, text or json. Default: ${DEFAULT-VALUE}.")
    private OutputFormat output;

    @Override
    public final Integer call() throws CtlException {
        CtlSettings settings = CtlSettings.read(config, admin, tokenFile, System.getenv());
        try (AdminClient client = AdminClient.start(settings, timeoutMillis)) {
            return run(client).code();
        }
    }

    /** Executes the command. */
    abstract ExitCode run(AdminClient client) throws CtlException;

    /** Prints a document in the format that the options select. */
    final void print(JsonNode document) {
        print(document, output, TextTable::render);
    }

    /** Prints a document as JSON regardless of the options. */
    final void printJson(JsonNode document) {
        print(document, OutputFormat.JSON, TextTable::render);
    }

    /** Prints the body of a successful response and returns {@link ExitCode#DONE}. */
    final ExitCode show(AdminReply reply, String subject) throws CtlException {
        return show(reply, subject, TextTable::render);
    }

    /** Like {@link #show(AdminReply, String)}, but renders the text format with {@code textRenderer}. */
    final ExitCode show(AdminReply reply, String subject, Function<JsonNode, String> textRenderer) throws CtlException {
        print(reply.orThrow(subject).body(), output, textRenderer);
        return ExitCode.DONE;
    }

    private void print(JsonNode document, OutputFormat format, Function<JsonNode, String> textRenderer) {
        spec.commandLine().getOut().print(format.render(document, textRenderer));
        spec.commandLine().getOut().flush();
    }
}
