package org.cicadahead.gateway;

/**
 * A whole event of a stream. Immutable; the bytes must not be changed.
 *
 * @param bytes the event as it came, with the empty line that ends it
 * @param id its id, or -1 if it has none
 * @param data its data without a line feed at the end; null if it has none
 */
record StreamEvent(byte[] bytes, long id, byte[] data) {}
