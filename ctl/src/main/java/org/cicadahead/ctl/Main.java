package org.cicadahead.ctl;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The entry point of the binary {@code cicadactl}. */
@Command(name = "cicadactl", mixinStandardHelpOptions = true)
public final class Main {

    private Main() {}

    /**
     * Runs the command line and exits with its code.
     *
     * @param args the arguments
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Main()).execute(args));
    }
}
