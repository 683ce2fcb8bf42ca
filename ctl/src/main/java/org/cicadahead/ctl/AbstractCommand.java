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

/** What all commands that call control have in common: options, client and output. */
@Command(mixinStandardHelpOptions = true)
abstract class AbstractCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "Settings in TOML: admin, token, token_file. Default: $" + CtlSettings.CONFIG_VARIABLE + ".")
    private Path config;

    @Option(
            names = "--admin",
            split = ",",
            paramLabel = "HOST:PORT",
            description = "Admin addresses of the replicas. Default: $" + CtlSettings.ADMIN_VARIABLE + ".")
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
            description = "How long to look for a leader. Default: ${DEFAULT-VALUE}.")
    private long timeoutMillis;

    @Option(
            names = {"-o", "--output"},
            defaultValue = "text",
            paramLabel = "FORMAT",
            description = "text or json. Default: ${DEFAULT-VALUE}.")
    private OutputFormat output;

    @Override
    public final Integer call() throws CtlException {
        CtlSettings settings = CtlSettings.read(config, admin, tokenFile, System.getenv());
        try (AdminClient client = AdminClient.start(settings, timeoutMillis)) {
            return run(client).code();
        }
    }

    /** Carries out the command. */
    abstract ExitCode run(AdminClient client) throws CtlException;

    /** Prints a document in the format of the options. */
    final void print(JsonNode document) {
        print(document, output, TextTable::render);
    }

    /** Prints a document as JSON whatever the options say. */
    final void printJson(JsonNode document) {
        print(document, OutputFormat.JSON, TextTable::render);
    }

    /** Prints the answer to a read and returns the code of success. */
    final ExitCode show(AdminReply reply, String what) throws CtlException {
        return show(reply, what, TextTable::render);
    }

    /** Prints the answer to a read, for people as {@code text} renders it, and returns the code of success. */
    final ExitCode show(AdminReply reply, String what, Function<JsonNode, String> text) throws CtlException {
        print(reply.orThrow(what).body(), output, text);
        return ExitCode.DONE;
    }

    private void print(JsonNode document, OutputFormat format, Function<JsonNode, String> text) {
        spec.commandLine().getOut().print(format.render(document, text));
        spec.commandLine().getOut().flush();
    }
}
