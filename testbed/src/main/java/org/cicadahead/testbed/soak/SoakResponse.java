package org.cicadahead.testbed.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;
import org.cicadahead.platform.WireNames;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Blocker;
import org.eclipse.jetty.util.Callback;

/** The response of an endpoint, which may break off at any byte. Not thread-safe. */
final class SoakResponse {
    /** The size of the parts of a response without end, in bytes. */
    private static final int PART_BYTES = 64 * 1024;
    /** The number of parts after which a response without end is closed by the endpoint after all. */
    private static final int MAX_PARTS = 4_096;

    /** How a response states where its body ends. */
    enum Framing {
        /** By its length. */
        LENGTH,
        /** By its last chunk. */
        CHUNKED,
        /** By the close of the connection. */
        UNFRAMED
    }

    /** How a response breaks off. */
    enum Break {
        /** By an orderly close. */
        CLOSE,
        /** By a reset. */
        RESET
    }

    private final Request request;
    private final Response response;
    private final Callback callback;

    SoakResponse(Request request, Response response, Callback callback) {
        this.request = request;
        this.response = response;
        this.callback = callback;
    }

    /** Returns the response with a status and the signature of the endpoint. */
    SoakResponse signed(int status, String attempt) {
        response.setStatus(status);
        response.getHeaders().put(WireNames.SIGNATURE, "seal-" + attempt);
        return this;
    }

    /** Sends a response that states that the request did not run. */
    void notRun(int status) {
        response.setStatus(status);
        response.getHeaders().put(WireNames.NOT_RUN, "1");
        callback.succeeded();
    }

    /** Sends a whole response. */
    void complete(Framing framing, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        frame(framing, bytes.length);
        write(bytes);
        response.write(true, ByteBuffer.allocate(0), callback);
    }

    /** Sends the head and a part of the body, and leaves the response open. */
    void begin(Framing framing, String part, String whole) throws IOException {
        frame(framing, whole.getBytes(StandardCharsets.UTF_8).length);
        write(part.getBytes(StandardCharsets.UTF_8));
    }

    /** Ends the connection. */
    void breakOff(Break how) throws IOException {
        EndPoint endPoint = endPoint();
        if (how == Break.RESET && endPoint instanceof SocketChannelEndPoint socket) {
            socket.getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
        }
        endPoint.close();
        callback.failed(new IOException("broken off"));
    }

    /** Sends a part of a head that ends at any byte, and ends the connection. */
    void cutHead(int status, String attempt, Break how) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + WireNames.ATTEMPT + ": " + attempt + "\r\n"
                + WireNames.SIGNATURE + ": seal-" + attempt + "\r\nContent-Length: 12\r\n\r\n";
        writeRaw(head.substring(0, ThreadLocalRandom.current().nextInt(head.length()))
                .getBytes(StandardCharsets.US_ASCII));
        breakOff(how);
    }

    /** Sends header fields until the connection is closed. */
    void endlessHead(String attempt) {
        String start = "HTTP/1.1 200 OK\r\n" + WireNames.ATTEMPT + ": " + attempt + "\r\n";
        byte[] fields = "More: 0123456789abcdef\r\n".repeat(PART_BYTES / 24).getBytes(StandardCharsets.US_ASCII);
        try {
            writeRaw(start.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < MAX_PARTS; i++) {
                writeRaw(fields);
            }
        } catch (IOException e) {
            // The entry has closed the connection, as it should.
        }
        endPoint().close();
        callback.failed(new IOException("a head without end"));
    }

    /** Sends a body that begins as given until the connection is closed. */
    void endlessBody(String start) {
        byte[] part = new byte[PART_BYTES];
        Arrays.fill(part, (byte) 'x');
        try (OutputStream body = Content.Sink.asOutputStream(response)) {
            body.write(start.getBytes(StandardCharsets.UTF_8));
            for (int i = 0; i < MAX_PARTS; i++) {
                body.write(part);
            }
        } catch (IOException e) {
            // The entry has closed the connection, as it should.
        }
        endPoint().close();
        callback.failed(new IOException("a body without end"));
    }

    private void frame(Framing framing, int length) {
        switch (framing) {
            case LENGTH -> response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
            case CHUNKED -> response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
            default -> response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }

    private void write(byte[] bytes) throws IOException {
        try (Blocker.Callback written = Blocker.callback()) {
            response.write(false, ByteBuffer.wrap(bytes), written);
            written.block();
        }
    }

    private void writeRaw(byte[] bytes) throws IOException {
        try (Blocker.Callback written = Blocker.callback()) {
            endPoint().write(written, ByteBuffer.wrap(bytes));
            written.block();
        }
    }

    private EndPoint endPoint() {
        return request.getConnectionMetaData().getConnection().getEndPoint();
    }
}
