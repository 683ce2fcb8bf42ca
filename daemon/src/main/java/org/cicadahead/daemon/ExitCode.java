package org.cicadahead.daemon;

/** The exit codes of the binary {@code cicadahead}. */
enum ExitCode {
    /** The settings are valid, or the daemon shut down gracefully. */
    OK(0),
    /** An unexpected failure ended the process. */
    FAILED(1),
    /** The command line is not valid. */
    USAGE(2),
    /** The settings file cannot be read or is not valid. */
    SETTINGS(3),
    /** A role or the health server cannot start, for example because its address is in use. */
    START(4),
    /** The shutdown failed or exceeded its time limit, so that requests may have been aborted. */
    SHUTDOWN_TIMEOUT(5);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the exit status of the process. */
    int code() {
        return code;
    }
}
