package org.cicadahead.endpoint;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Serves one answer over plain sockets and cuts it after the number of bytes that the first segment of the path names.
 * A request whose path begins with {@code /whole} gets the whole answer with a length, on a connection that stays open.
 * A request for the rest of a stream gets 404. Thread-safe.
 */
final class CutAnswerServer implements AutoCloseable {
    private static final String KEPT =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    private static final String UNKNOWN_STREAM =
            "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final byte[] answer;
    private final Cut cut;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Integer> cutOnKept = ConcurrentHashMap.newKeySet();

    /** The ways in which an answer ends early. */
    enum Cut {
        /** The server closes the connection in order. */
        CLOSE {
            @Override
            void end(Socket socket) throws IOException {
                socket.close();
            }
        },
        /** The server resets the connection. */
        RESET {
            @Override
            void end(Socket socket) throws IOException {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        },
        /** The rest never comes, and the connection stays open. */
        SILENCE {
            @Override
            void end(Socket socket) {}
        };

        abstract void end(Socket socket) throws IOException;
    }

    CutAnswerServer(String answer, Cut cut) throws IOException {
        this.answer = answer.getBytes(StandardCharsets.US_ASCII);
        this.cut = cut;
        start(this::accept);
    }

    /** Returns the base address under which the answer is cut after a number of bytes. */
    URI cutAfter(int bytes) {
        return URI.create("http://127.0.0.1:" + server.getLocalPort() + "/" + bytes);
    }

    /** Returns the base address of a whole answer, after which the connection is kept. */
    URI whole() {
        return URI.create("http://127.0.0.1:" + server.getLocalPort() + "/whole");
    }

    /** Returns the number of positions at which an answer was cut on a connection that had served another one. */
    int cutOnKept() {
        return cutOnKept.size();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "cut-answer-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                open.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            boolean kept = false;
            for (String path = readRequest(socket); path != null; path = readRequest(socket)) {
                if (path.contains("/v1/engine/streams/")) {
                    socket.getOutputStream().write(UNKNOWN_STREAM.getBytes(StandardCharsets.US_ASCII));
                    socket.close();
                    return;
                }
                if (!path.startsWith("/whole")) {
                    cut(socket, Integer.parseInt(path.split("/")[1]), kept);
                    return;
                }
                socket.getOutputStream().write(KEPT.getBytes(StandardCharsets.US_ASCII));
                kept = true;
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    private void cut(Socket socket, int bytes, boolean kept) throws IOException {
        if (kept) {
            cutOnKept.add(bytes);
        }
        socket.getOutputStream().write(Arrays.copyOf(answer, bytes));
        cut.end(socket);
        if (socket.isClosed()) {
            open.remove(socket);
        }
    }

    /** Reads a whole request, as a connection that is closed with unread bytes would be reset. Returns its path. */
    private static String readRequest(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        int start = head.indexOf("Content-Length: ");
        if (start >= 0) {
            int end = head.indexOf("\r", start);
            input.readNBytes(Integer.parseInt(head.substring(start + 16, end)));
        }
        return head.toString().split(" ")[1];
    }
}
