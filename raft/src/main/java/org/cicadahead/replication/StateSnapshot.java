package org.cicadahead.replication;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;

/** State frozen for a snapshot. Used by one thread and closed after use. */
public interface StateSnapshot extends Closeable {

    /**
     * Writes the state.
     *
     * @param out takes the bytes; not closed
     * @throws IOException if the state cannot be read or written
     */
    void write(OutputStream out) throws IOException;

    @Override
    void close() throws IOException;
}
