package org.cicadahead.testbed.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out free ports of the loopback address. Safe for use by several threads.
 *
 * <p>The ports lie below the range from which the operating system takes ports for outgoing connections, so that a
 * process that is restarted finds its port free.
 */
public final class Ports {
    private static final int FIRST = 12_000;
    private static final int LAST = 31_000;
    /** Test beds that run at once start at different ports. */
    private static final int SPREAD = 97;

    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (FIRST + ProcessHandle.current().pid() * SPREAD % (LAST - FIRST)));

    private Ports() {}

    /**
     * Returns a port that is free now and that no earlier call returned.
     *
     * @return the port
     * @throws FleetException if no port is free
     */
    public static int free() throws FleetException {
        for (int attempt = FIRST; attempt < LAST; attempt++) {
            int port = NEXT.getAndUpdate(last -> last + 1 >= LAST ? FIRST : last + 1);
            if (isFree(port)) {
                return port;
            }
        }
        throw new FleetException("no port from " + FIRST + " to " + LAST + " is free", null);
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
