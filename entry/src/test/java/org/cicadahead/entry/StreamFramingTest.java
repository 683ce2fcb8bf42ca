package org.cicadahead.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Guards against a stream whose end is the end of its connection, as a stream that breaks off would look complete. */
class StreamFramingTest {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    @Test
    void aStreamIsSentInChunksOnAConnectionThatCloses() throws Exception {
        EntryFixture fixture = new EntryFixture();
        try {
            String response = call(fixture, EntryFixture.chat("plan", true, "Hi"));
            assertThat(response.toLowerCase(Locale.ROOT)).contains("transfer-encoding: chunked");
            assertThat(response).contains("[DONE]");
            assertThat(response).endsWith("\r\n0\r\n\r\n");
        } finally {
            fixture.close();
        }
    }

    private static String call(EntryFixture fixture, String body) throws Exception {
        URI uri = fixture.requestTo("/v1/chat/completions").build().uri();
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer "
                + EntryFixture.KEY + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                + "\r\n\r\n";
        try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
