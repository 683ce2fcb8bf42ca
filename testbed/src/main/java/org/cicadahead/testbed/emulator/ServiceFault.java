package org.cicadahead.testbed.emulator;

/** The fault switches of an emulated service. */
public enum ServiceFault {
    /** Any text; calls are executed and never answered. */
    HANG,
    /** Number of milliseconds that a call takes. */
    DELAY_MILLIS,
    /** Number n; the next n calls lose their connection before they are executed. */
    RESET_BEFORE,
    /** Number n; the next n calls lose their connection after they were executed. */
    RESET_AFTER,
    /** Number n; the next n calls are not executed and get status 503. */
    REFUSE,
    /** Number n; the next n calls get a redirect to the same path. */
    REDIRECT
}
