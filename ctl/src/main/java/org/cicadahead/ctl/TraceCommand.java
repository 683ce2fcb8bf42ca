package org.cicadahead.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Correlates the log lines of several processes that concern one request, program, session or turn. */
@Command(
        name = "trace",
        mixinStandardHelpOptions = true,
        description = "Prints the log lines of a request, program, session or turn in time order, together with the "
                + "warnings that any process logged around that time. Lines are JSON, or TIME NODE JSON.")
final class TraceCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "ID", description = "The id of a request, program, session or turn.")
    private String id;

    @Parameters(
            index = "1..*",
            paramLabel = "FILE",
            description = "Log files, one per process. Default: standard input.")
    private List<Path> files = List.of();

    @Option(
            names = "--around-seconds",
            defaultValue = "2",
            paramLabel = "N",
            description = "Shows warnings up to N seconds before or after the trace. Default: ${DEFAULT-VALUE}.")
    private double aroundSeconds;

    @Override
    public Integer call() throws CtlException {
        List<TraceLine> lines = new ArrayList<>();
        try {
            if (files.isEmpty()) {
                readLines(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), "stdin", lines);
            }
            for (Path file : files) {
                try (BufferedReader reader = Files.newBufferedReader(file)) {
                    readLines(reader, String.valueOf(file.getFileName()), lines);
                }
            }
        } catch (IOException e) {
            throw new CtlException(ExitCode.USAGE, "Cannot read the logs: " + e.getMessage(), e);
        }
        List<TraceLine> trace = TraceLine.trace(lines, id, aroundSeconds);
        trace.forEach(line -> spec.commandLine().getOut().println(line.text()));
        return trace.isEmpty() ? ExitCode.REFUSED.code() : ExitCode.DONE.code();
    }

    private static void readLines(BufferedReader reader, String source, List<TraceLine> lines) throws IOException {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            TraceLine line = TraceLine.parse(text, source);
            if (line != null) {
                lines.add(line);
            }
        }
    }
}
