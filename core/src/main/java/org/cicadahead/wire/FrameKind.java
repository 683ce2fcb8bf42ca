package org.cicadahead.wire;

/** The kinds of frames. The ordinal is the kind byte on the wire, so the order must not change. */
enum FrameKind {
    /** A request that expects a reply. */
    REQUEST,
    /** A part of a streamed reply. */
    PART,
    /** The last or only reply to a request. */
    REPLY,
    /** The request could not be served; the body is an error message. */
    ERROR,
    /** The requester has cancelled the call. */
    CANCEL,
    /** A message that expects no reply. */
    ONE_WAY,
    /** Checks whether the peer is alive. */
    PING,
    /** Answers a ping. */
    PONG
}
