package org.cicadahead.ctl;

/** The exit codes of the binary {@code cicadactl}. */
enum ExitCode {
    /** The command was carried out. */
    DONE(0),
    /** Control refused the command, or {@code diff} found a difference. */
    REFUSED(1),
    /** The command line, a settings file or a document is not valid. */
    USAGE(2),
    /** The edit was based on another revision than the current one. */
    CONFLICT(3),
    /** No leader of control answered in time. */
    UNREACHABLE(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the number for the operating system. */
    int code() {
        return code;
    }
}
