/**
 * The transport between daemons: length-prefixed frames with MessagePack bodies over TCP, with requests and replies,
 * streamed replies, and cancellation.
 *
 * <p>A frame consists of a 4-byte length, a 1-byte kind, an 8-byte call id, a 1-byte length of the type name, the type
 * name in ASCII, and the MessagePack body.
 */
package org.cicadahead.wire;
