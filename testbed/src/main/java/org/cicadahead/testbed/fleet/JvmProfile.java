package org.cicadahead.testbed.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The JVM flags by what a process does. */
public enum JvmProfile {
    /** A daemon beside an endpoint has 32 MB for control. */
    ENDPOINT("-Xmx32m"),
    /** An entry holds the bodies and buffered chunks of its running requests. */
    ENTRY("-Xmx96m"),
    /** A replica holds the tables; histories are in files. */
    CONTROL("-Xmx128m"),
    /** An emulator holds its prefix cache. */
    EMULATOR("-Xmx128m"),
    /** A command line tool. */
    TOOL("-Xmx64m");

    private final String heap;

    JvmProfile(String heap) {
        this.heap = heap;
    }

    /**
     * Returns the command of a JVM that runs a jar.
     *
     * @param jar the jar
     * @param arguments the arguments of its main class
     * @return the command
     */
    public List<String> command(Path jar, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                heap,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+ExitOnOutOfMemoryError",
                "-Xshare:auto",
                "-jar",
                jar.toString()));
        command.addAll(arguments);
        return List.copyOf(command);
    }
}
