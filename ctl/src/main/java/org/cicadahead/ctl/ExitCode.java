package org.cicadahead.ctl;

/** The exit codes of {@code cicadactl}. */
enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** Control rejected the command, or {@code diff} found a difference. */
    REFUSED(1),
    /** The command line, a settings file or a document is invalid. */
    USAGE(2),
    /** The edit was based on a revision that is not the current one. */
    CONFLICT(3),
    /** No control leader responded before the timeout. */
    UNREACHABLE(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the exit status of the process. */
    int code() {
        return code;
    }
}
