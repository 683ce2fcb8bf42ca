package org.cicadahead.replication;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;

/** A captured state that is to be written as a snapshot. Used by a single thread and closed after use. */
public interface StateSnapshot extends Closeable {

    /**
     * Writes the state.
     *
     * @param out the stream to write to; must not be closed
     * @throws IOException if the state cannot be read or written
     */
    void write(OutputStream out) throws IOException;

    @Override
    void close() throws IOException;
}
