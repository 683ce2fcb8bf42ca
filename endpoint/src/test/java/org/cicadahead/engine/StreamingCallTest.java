package org.cicadahead.engine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import org.cicadahead.model.RunId;
import org.cicadahead.protocol.Usage;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against errors of an engine that are passed on as events of a stream. */
class StreamingCallTest {
    private static final String EVENT = "data: one\n\n";
    private static final String ERROR = "data: boom\n\n";
    private static final String STREAM = "Content-Type: text/event-stream\r\n";

    private final Deque<String> responses = new ConcurrentLinkedDeque<>();
    private final HttpClient http = new HttpClient();
    private ServerSocket server;

    @BeforeEach
    void start() throws Exception {
        http.start();
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        http.stop();
    }

    /** Answers each connection with the next response and closes it. */
    private void respond() {
        Thread thread = new Thread(() -> {
            while (!responses.isEmpty()) {
                try (Socket socket = server.accept()) {
                    readRequest(socket);
                    socket.getOutputStream().write(responses.poll().getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads a whole request, as a connection that is closed with unread bytes would be reset. */
    private static void readRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            assertThat(next).isAtLeast(0);
            head.append((char) next);
        }
        int start = head.indexOf("Content-Length: ");
        if (start >= 0) {
            int end = head.indexOf("\r", start);
            socket.getInputStream().readNBytes(Integer.parseInt(head.substring(start + 16, end)));
        }
    }

    private static String response(String status, String headers, String text) {
        return "HTTP/1.1 " + status + "\r\nConnection: close\r\n" + headers + "Content-Length: " + text.length()
                + "\r\n\r\n" + text;
    }

    /** Returns what the listener received: events, a body in brackets, and the end. */
    private String run() throws Exception {
        StringBuilder received = new StringBuilder();
        CompletableFuture<String> result = new CompletableFuture<>();
        EngineListener listener = new EngineListener() {
            @Override
            public long data(byte[] data, int events) {
                String text = new String(data, StandardCharsets.US_ASCII);
                received.append(events > 0 ? text : "[" + text + "]");
                return 0;
            }

            @Override
            public void ended(int status, String contentType, Usage usage) {
                result.complete(received + "ended " + status);
            }

            @Override
            public void failed(EngineException cause) {
                result.complete(received + "failed");
            }
        };
        respond();
        URI target = URI.create("http://127.0.0.1:" + server.getLocalPort());
        byte[] body = "{\"messages\":[]}".getBytes(StandardCharsets.US_ASCII);
        EngineClient.to(http, target).run(new EngineRun(RunId.of("r"), "o", body, true, 10_000), listener);
        return result.get(20, TimeUnit.SECONDS);
    }

    /** An engine answers a request for the rest of a stream with an error that has the media type of a stream. */
    @Test
    void anErrorIsNotPassedOnWithinAStream() throws Exception {
        for (String error : List.of(
                response("500 X", STREAM, ERROR),
                response("503 X", "", ERROR),
                response("206 X", STREAM, ERROR),
                response("200 OK", "Content-Type: text/plain\r\n", ERROR))) {
            responses.add("HTTP/1.1 200 OK\r\n" + STREAM + "Content-Length: 100\r\n\r\n" + EVENT + "data: t");
            responses.add(error);
            assertWithMessage(error).that(run()).isEqualTo(EVENT + "failed");
        }
    }

    /** An error in place of a stream is a body, so that the entry can tell its status before it passes on anything. */
    @Test
    void anErrorInPlaceOfAStreamIsABody() throws Exception {
        responses.add(response("500 X", STREAM, ERROR));
        assertThat(run()).isEqualTo("[" + ERROR + "]ended 500");
    }
}
