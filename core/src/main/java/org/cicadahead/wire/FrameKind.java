package org.cicadahead.wire;

/** The kinds of frames. The ordinal is the byte on the wire, so the order must not change. */
enum FrameKind {
    /** A request that expects a reply. */
    REQUEST,
    /** Part of a streamed answer. */
    PART,
    /** The last answer to a request. */
    REPLY,
    /** The request could not be served; the body is a text. */
    ERROR,
    /** The requester no longer wants the answer. */
    CANCEL,
    /** A message without an answer. */
    ONE_WAY,
    /** Asks whether the other side is alive. */
    PING,
    /** Answers a ping. */
    PONG
}
