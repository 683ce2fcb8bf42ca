package org.cicadahead.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for servers that are restarted within a test. They lie below the ephemeral port range of the
 * operating system: a port from that range was sometimes assigned to an outgoing connection between the stop and the
 * restart of a server.
 */
public final class TestPorts {
    private static final int FIRST = 12_000;
    private static final int LAST = 31_000;
    private static final int SPREAD = 97;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (FIRST + ProcessHandle.current().pid() * SPREAD % (LAST - FIRST)));

    private TestPorts() {}

    /**
     * Returns a port that is currently free. Ports are handed out in rotation, so that one is reused only after all
     * others.
     */
    public static int free() throws IOException {
        for (int attempt = FIRST; attempt < LAST; attempt++) {
            int port = NEXT.getAndUpdate(last -> last + 1 >= LAST ? FIRST : last + 1);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no port from " + FIRST + " to " + LAST + " is free");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
