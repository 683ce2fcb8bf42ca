package org.cicadahead.testbed.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * A process that this test bed started, known by its process id. Safe for use by several threads.
 *
 * <p>It is not started by its constructor; {@link #start()} may be called again after the process has ended.
 */
public final class ManagedProcess {
    private static final long KILL_WAIT_MILLIS = 5_000;

    private final String name;
    private final List<String> command;
    private final Path log;
    private Process process;

    /**
     * Creates a process that is not started yet.
     *
     * @param name a name for messages
     * @param command the program and its arguments
     * @param log the file that its output is appended to
     */
    public ManagedProcess(String name, List<String> command, Path log) {
        this.name = Objects.requireNonNull(name, "The name must not be null");
        this.command = List.copyOf(command);
        this.log = Objects.requireNonNull(log, "The log must not be null");
    }

    /**
     * Starts the process.
     *
     * @throws FleetException if it runs already or cannot be started
     */
    public synchronized void start() throws FleetException {
        if (isAlive()) {
            throw new FleetException(name + " runs already", null);
        }
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            process.getOutputStream().close();
        } catch (IOException e) {
            throw new FleetException(name + " cannot be started", e);
        }
    }

    /**
     * Returns the name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the file with the output.
     *
     * @return the file
     */
    public Path log() {
        return log;
    }

    /**
     * Returns the process id.
     *
     * @return the id, or -1 if the process was never started
     */
    public synchronized long pid() {
        return process == null ? -1 : process.pid();
    }

    /**
     * Returns whether the process runs or is frozen.
     *
     * @return true if it has not ended
     */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /**
     * Ends the process at once, as {@code kill -9} does, and waits until it is gone.
     *
     * @throws FleetException if it does not end
     */
    public void kill() throws FleetException {
        if (isAlive()) {
            signal(Signal.KILL);
        }
        if (!awaitExit(KILL_WAIT_MILLIS)) {
            throw new FleetException(name + " does not end", null);
        }
    }

    /**
     * Freezes the process.
     *
     * @throws FleetException if the signal cannot be sent
     */
    public void freeze() throws FleetException {
        signal(Signal.STOP);
    }

    /**
     * Continues the frozen process.
     *
     * @throws FleetException if the signal cannot be sent
     */
    public void thaw() throws FleetException {
        signal(Signal.CONT);
    }

    /**
     * Lets each write of the process to a file fail, as on a full disk, until {@link #allowWrites()}.
     *
     * <p>Sockets and pipes are not affected. The log is, if it is a file: what the process reports until then is lost.
     *
     * @throws FleetException if the process does not run, or {@code prlimit} is missing or fails
     */
    public void denyWrites() throws FleetException {
        limitFiles("0:");
    }

    /**
     * Lets the process write files again.
     *
     * @throws FleetException if the process does not run, or {@code prlimit} is missing or fails
     */
    public void allowWrites() throws FleetException {
        limitFiles("unlimited:");
    }

    /**
     * Asks the process to shut down gracefully.
     *
     * @throws FleetException if the signal cannot be sent
     */
    public void terminate() throws FleetException {
        signal(Signal.TERM);
    }

    /**
     * Tells the process that its settings file has changed.
     *
     * @throws FleetException if the signal cannot be sent
     */
    public void hangUp() throws FleetException {
        signal(Signal.HUP);
    }

    /**
     * Waits until the process has ended.
     *
     * @param timeoutMillis how long to wait at most, in milliseconds
     * @return true if it has ended
     * @throws FleetException if the thread is interrupted
     */
    public boolean awaitExit(long timeoutMillis) throws FleetException {
        Process waited;
        synchronized (this) {
            waited = process;
        }
        try {
            return waited == null || waited.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted while waiting for " + name, e);
        }
    }

    /**
     * Returns the exit code of the ended process.
     *
     * @return the code
     * @throws IllegalStateException if the process has not ended
     */
    public synchronized int exitCode() {
        if (process == null || process.isAlive()) {
            throw new IllegalStateException(name + " has not ended");
        }
        return process.exitValue();
    }

    /** Sets the soft limit on the size of files only, so that it can be raised again. */
    private synchronized void limitFiles(String limit) throws FleetException {
        String tool = "prlimit --fsize=" + limit;
        runTool(tool + " for " + name, "prlimit", "--pid", Long.toString(pid()), "--fsize=" + limit);
    }

    private synchronized void signal(Signal signal) throws FleetException {
        runTool("kill of " + name + " with " + signal, "kill", "-" + signal.name(), Long.toString(pid()));
    }

    /** Runs a tool on the process; its failure is ignored if the process has ended meanwhile. */
    private void runTool(String what, String... toolCommand) throws FleetException {
        if (!isAlive()) {
            throw new FleetException(name + " does not run", null);
        }
        try {
            Process tool = new ProcessBuilder(toolCommand)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            int code = tool.waitFor();
            if (code != 0 && process.isAlive()) {
                throw new FleetException(what + " ended with exit code " + code, null);
            }
        } catch (IOException e) {
            throw new FleetException(what + " cannot be run", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted during " + what, e);
        }
    }
}
