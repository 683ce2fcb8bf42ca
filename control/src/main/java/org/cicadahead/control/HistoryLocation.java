package org.cicadahead.control;

import java.io.IOException;

/**
 * Where a step is kept. Immutable.
 *
 * @param segment the file
 * @param offset the offset in bytes
 * @param length the length in bytes
 */
record HistoryLocation(HistorySegment segment, long offset, int length) {
    byte[] read() throws IOException {
        return segment.read(offset, length);
    }
}
