package org.cicadahead.testbed.fleet;

/** The signals that a test bed sends to its processes. */
enum Signal {
    /** Ends a process at once. */
    KILL,
    /** Asks a process to shut down gracefully. */
    TERM,
    /** Tells a process that its settings have changed. */
    HUP,
    /** Freezes a process. */
    STOP,
    /** Continues a frozen process. */
    CONT
}
