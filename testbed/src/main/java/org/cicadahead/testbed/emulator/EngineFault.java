package org.cicadahead.testbed.emulator;

/** The fault switches of an emulated engine. */
public enum EngineFault {
    /** Text; the engine crashes when it starts to run a prompt that contains it. */
    CRASH_MARKER,
    /** Any text; the engine accepts connections and never answers. */
    HANG,
    /** Number n; the next stream that has n events loses its connection, and can be resumed. */
    BREAK_AFTER_EVENTS,
    /** Number n; the engine crashes when a stream has n events. */
    DIE_AFTER_EVENTS,
    /** Any text; status reports say that the engine is idle. */
    LIE_LOAD,
    /** Number; this percentage of cache events is never published. */
    DROP_EVENTS_PERCENT,
    /** Any text; orders with old fencing tokens are carried out. */
    IGNORE_FENCES,
    /** Number n; the next n releases fail with status 500 and release nothing. */
    REFUSE_RELEASES,
    /** Number n; the answers to the next n releases are lost after they took effect. */
    LOSE_RELEASE_ANSWERS,
    /** Number n; the next n completion requests get status 503. */
    REFUSE_REQUESTS,
    /** Number n; the next n completion requests lose their connection before they are queued. */
    RESET_REQUESTS,
    /** Any text; broken streams cannot be resumed. */
    NO_RESUME,
    /** Any text; every connection is closed without an answer, as if the engine were not running. */
    DOWN
}
