package org.cicadahead.ctl;

/** Thrown when a command fails. Carries the exit code of the process. */
final class CtlException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CtlException(ExitCode exitCode, String message, Throwable cause) {
        super(message, cause);
        this.exitCode = exitCode;
    }

    static CtlException usage(String message, Throwable cause) {
        return new CtlException(ExitCode.USAGE, message, cause);
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
