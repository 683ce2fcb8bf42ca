package org.cicadahead.storage;

import java.io.IOException;
import java.io.InputStream;

/** The first bytes of another stream. */
final class LimitedInputStream extends InputStream {
    private final InputStream in;
    private long left;

    LimitedInputStream(InputStream in, long limit) {
        this.in = in;
        this.left = limit;
    }

    @Override
    public int read() throws IOException {
        if (left <= 0) {
            return -1;
        }
        int value = in.read();
        left--;
        return value;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        if (left <= 0) {
            return length == 0 ? 0 : -1;
        }
        int count = in.read(buffer, offset, (int) Math.min(length, left));
        left -= Math.max(0, count);
        return count;
    }
}
