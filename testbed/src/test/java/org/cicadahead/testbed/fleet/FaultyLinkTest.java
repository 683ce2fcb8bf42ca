package org.cicadahead.testbed.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.cicadahead.testbed.fleet.FaultyLink.Direction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultyLinkTest {
    private static final int SILENCE_MILLIS = 150;
    private static final int ARRIVAL_MILLIS = 5_000;

    private ServerSocket server;
    private FaultyLink link;
    private Socket near;
    private Socket far;

    @BeforeEach
    void connect() throws IOException, FleetException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        server = new ServerSocket(0, 1, loopback);
        link = FaultyLink.start(0, server.getLocalPort());
        near = new Socket(loopback, link.port());
        far = server.accept();
    }

    @AfterEach
    void close() throws IOException {
        near.close();
        far.close();
        link.close();
        server.close();
    }

    /** Guards against a cut that closes the connection, which a process would notice at once. */
    @Test
    void cutIsSilentInBothDirectionsUntilHealed() throws IOException {
        assertArrives(near, far);
        link.cut();
        assertSilent(near, far);
        assertSilent(far, near);
        link.heal();
        far.setSoTimeout(ARRIVAL_MILLIS);
        assertThat(far.getInputStream().read()).isEqualTo(2);
    }

    /** Guards against a cut of one way that also cuts the other. */
    @Test
    void cutsOneDirection() throws IOException {
        link.cut(Direction.BACKWARD);
        assertArrives(near, far);
        assertSilent(far, near);
    }

    /** Guards against an isolation that cuts off the connections of another process. */
    @Test
    void cutsBySource() throws IOException {
        int port = near.getLocalPort();
        link.cutFrom(source -> source != port);
        assertArrives(near, far);
        link.cutFrom(source -> source == port);
        assertSilent(near, far);
    }

    /** Guards against a partition that a close gets through. */
    @Test
    void carriesCloseOnlyWhenOpen() throws IOException {
        link.cut();
        near.close();
        far.setSoTimeout(SILENCE_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
        link.heal();
        far.setSoTimeout(ARRIVAL_MILLIS);
        assertThat(far.getInputStream().read()).isEqualTo(-1);
    }

    /** Guards against a reset that arrives as an orderly close, which ends a response without a length. */
    @Test
    void carriesReset() throws IOException {
        assertArrives(near, far);
        far.setSoLinger(true, 0);
        far.close();
        near.setSoTimeout(ARRIVAL_MILLIS);
        assertThrows(SocketException.class, () -> near.getInputStream().read());
    }

    /** Guards against a process that ends but whose port still accepts connections. */
    @Test
    void refusesConnectionsUntilAcceptingAgain() throws IOException, FleetException {
        int port = link.port();
        assertArrives(near, far);
        link.refuse(false);
        near.setSoTimeout(ARRIVAL_MILLIS);
        assertThat(near.getInputStream().read()).isEqualTo(-1);
        assertThrows(ConnectException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port).close());
        link.accept();
        try (Socket again = new Socket(InetAddress.getLoopbackAddress(), port);
                Socket accepted = server.accept()) {
            assertArrives(again, accepted);
        }
    }

    /** Guards against a delay that is not applied. */
    @Test
    void delays() throws IOException {
        link.delay(60);
        long startNanos = System.nanoTime();
        assertArrives(near, far);
        assertThat(System.nanoTime() - startNanos).isAtLeast(60_000_000L);
    }

    /** Guards against an isolation that does not find the process of a connection. */
    @Test
    void tellsOwnerOfSocket() {
        long self = ProcessHandle.current().pid();
        assertThat(SocketOwners.owns(self, near.getLocalPort())).isTrue();
        assertThat(SocketOwners.owns(self, 1)).isFalse();
        assertThat(SocketOwners.owns(1, near.getLocalPort())).isEqualTo(self == 1);
    }

    private static void assertArrives(Socket from, Socket to) throws IOException {
        to.setSoTimeout(ARRIVAL_MILLIS);
        from.getOutputStream().write(1);
        assertThat(to.getInputStream().read()).isEqualTo(1);
    }

    private static void assertSilent(Socket from, Socket to) throws IOException {
        to.setSoTimeout(SILENCE_MILLIS);
        from.getOutputStream().write(2);
        assertThrows(SocketTimeoutException.class, () -> to.getInputStream().read());
    }
}
