package org.cicadahead.testbed.emulator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a service emulator that miscounts executions, on which the at-most-once tests rely. */
class ServiceEmulatorTest {
    private ServiceEmulator service;

    @BeforeEach
    void start() throws IOException {
        service = ServiceEmulator.start(0, ServiceOptions.immediate());
    }

    @AfterEach
    void close() throws IOException {
        service.close();
    }

    @Test
    void everyCallCounts() throws Exception {
        assertThat(call("k1").statusCode()).isEqualTo(200);
        call("k1");
        assertThat(service.executions("k1")).isEqualTo(2);
        assertThat(service.executions("k2")).isEqualTo(0);
    }

    @Test
    void resetAfterExecutionCountsAndResetBeforeDoesNot() {
        service.faults().set(ServiceFault.RESET_AFTER, "1");
        assertThrows(IOException.class, () -> call("k1"));
        assertThat(service.executions("k1")).isEqualTo(1);
        service.faults().set(ServiceFault.RESET_BEFORE, "1");
        assertThrows(IOException.class, () -> call("k2"));
        assertThat(service.executions("k2")).isEqualTo(0);
    }

    private HttpResponse<String> call(String key) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(service.uri() + "/dispatch/send"))
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }
}
