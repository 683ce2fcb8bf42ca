package org.cicadahead.storage;

import java.io.IOException;
import java.io.InputStream;

/** Reads at most a given number of bytes from another stream. */
final class LimitedInputStream extends InputStream {
    private final InputStream in;
    private long remaining;

    LimitedInputStream(InputStream in, long limit) {
        this.in = in;
        this.remaining = limit;
    }

    @Override
    public int read() throws IOException {
        if (remaining <= 0) {
            return -1;
        }
        int value = in.read();
        remaining--;
        return value;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        if (remaining <= 0) {
            return length == 0 ? 0 : -1;
        }
        int count = in.read(buffer, offset, (int) Math.min(length, remaining));
        remaining -= Math.max(0, count);
        return count;
    }
}
