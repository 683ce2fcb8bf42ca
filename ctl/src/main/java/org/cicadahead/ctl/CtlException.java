package org.cicadahead.ctl;

/** A command cannot be carried out. */
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
