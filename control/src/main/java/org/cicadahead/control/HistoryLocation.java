package org.cicadahead.control;

import java.io.IOException;

/**
 * The location of a stored step. Immutable.
 *
 * @param segment the segment file
 * @param offset the offset in bytes
 * @param length the length in bytes
 */
record HistoryLocation(HistorySegment segment, long offset, int length) {
    byte[] read() throws IOException {
        return segment.read(offset, length);
    }
}
