package org.cicadahead.daemon;

/** The exit codes of the binary {@code cicadahead}. */
enum ExitCode {
    /** The settings are valid, or the daemon shut down gracefully. */
    OK(0),
    /** A role failed in a way that is not foreseen. */
    FAILED(1),
    /** The command line is not valid. */
    USAGE(2),
    /** The settings file is refused. */
    SETTINGS(3),
    /** A role cannot start, for example as its address is in use. */
    START(4),
    /** The shutdown took longer than its time limit, and requests were cut off. */
    SHUTDOWN_TIMEOUT(5);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the number for the operating system. */
    int code() {
        return code;
    }
}
