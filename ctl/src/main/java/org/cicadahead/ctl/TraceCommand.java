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

/** Tells the story of one request or program from the logs of several processes. */
@Command(
        name = "trace",
        mixinStandardHelpOptions = true,
        description = "Prints what log files say of a request, a program or a turn, in the order of time, with the "
                + "warnings that any process wrote around it. Lines are JSON, or TIME NODE JSON.")
final class TraceCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "ID", description = "The id of a request, program, session or turn.")
    private String id;

    @Parameters(index = "1..*", paramLabel = "FILE", description = "Log files, one a process; standard input if none.")
    private List<Path> files = List.of();

    @Option(
            names = "--around-seconds",
            defaultValue = "2",
            paramLabel = "N",
            description = "How far from the request warnings are shown. Default: ${DEFAULT-VALUE}.")
    private double aroundSeconds;

    @Override
    public Integer call() throws CtlException {
        List<TraceLine> lines = new ArrayList<>();
        try {
            if (files.isEmpty()) {
                read(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), "stdin", lines);
            }
            for (Path file : files) {
                try (BufferedReader reader = Files.newBufferedReader(file)) {
                    read(reader, String.valueOf(file.getFileName()), lines);
                }
            }
        } catch (IOException e) {
            throw new CtlException(ExitCode.USAGE, "cannot read the logs: " + e.getMessage(), e);
        }
        List<TraceLine> story = TraceLine.story(lines, id, aroundSeconds);
        story.forEach(line -> spec.commandLine().getOut().println(line.text()));
        return story.isEmpty() ? ExitCode.REFUSED.code() : ExitCode.DONE.code();
    }

    private static void read(BufferedReader reader, String source, List<TraceLine> lines) throws IOException {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            TraceLine line = TraceLine.parse(text, source);
            if (line != null) {
                lines.add(line);
            }
        }
    }
}
