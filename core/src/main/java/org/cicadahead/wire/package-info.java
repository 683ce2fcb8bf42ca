/**
 * Length-prefixed frames with MessagePack bodies over TCP, with request and reply, streams of parts, and cancellation.
 *
 * <p>A frame is a 4-byte length, a 1-byte kind, an 8-byte call id, a 1-byte length of the type name, the type name in
 * ASCII, and the MessagePack body.
 */
package org.cicadahead.wire;
