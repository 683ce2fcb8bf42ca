package org.cicadahead.testbed.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ManagedProcessTest {
    private static final long WAIT_MILLIS = 5_000;

    @TempDir
    private Path folder;

    /** Guards against signals that go astray: a frozen process must not end, a killed one must. */
    @Test
    void freezesThawsTerminatesAndRestarts() throws FleetException, IOException {
        ManagedProcess process = process("echo started; exec sleep 60");
        process.start();
        long first = process.pid();
        process.freeze();
        assertThat(Polling.await(WAIT_MILLIS, () -> state(first).equals("T"))).isTrue();
        process.thaw();
        assertThat(Polling.await(WAIT_MILLIS, () -> state(first).equals("S"))).isTrue();
        process.terminate();
        assertThat(process.awaitExit(WAIT_MILLIS)).isTrue();
        assertThat(process.exitCode()).isEqualTo(143);

        process.start();
        assertThat(process.pid()).isNotEqualTo(first);
        assertThrows(FleetException.class, process::start);
        assertThat(Polling.await(WAIT_MILLIS, () -> text().equals("started\nstarted\n")))
                .isTrue();
        process.kill();
        assertThat(process.exitCode()).isEqualTo(137);
        assertThat(process.isAlive()).isFalse();
        process.kill();
    }

    /** Guards against a signal to a process that has ended, whose id another process may have by now. */
    @Test
    void refusesSignalToEndedProcess() throws FleetException {
        ManagedProcess process = process("exit 3");
        process.start();
        assertThat(process.awaitExit(WAIT_MILLIS)).isTrue();
        assertThat(process.exitCode()).isEqualTo(3);
        assertThrows(FleetException.class, process::freeze);
    }

    /** Guards against a full disk that the process does not notice, or that stays full. */
    @Test
    void deniesAndAllowsWritesToFiles() throws FleetException {
        Path failed = folder.resolve("failed");
        // The script ignores SIGXFSZ (25) as a JVM does; a folder can be made without a write to a file.
        ManagedProcess process =
                process("trap '' 25; while :; do echo written || mkdir -p " + failed + "; sleep 0.02; done");
        process.start();
        assertThat(Polling.await(WAIT_MILLIS, () -> !text().isEmpty())).isTrue();
        assertThat(Files.exists(failed)).isFalse();
        process.denyWrites();
        assertThat(Polling.await(WAIT_MILLIS, () -> Files.exists(failed))).isTrue();
        int length = text().length();
        process.allowWrites();
        assertThat(Polling.await(WAIT_MILLIS, () -> text().length() > length)).isTrue();
        process.kill();
        assertThrows(FleetException.class, process::denyWrites);
    }

    private ManagedProcess process(String script) {
        return new ManagedProcess("script", List.of("sh", "-c", script), folder.resolve("log"));
    }

    private String text() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return "";
        }
    }

    private static String state(long pid) {
        try {
            String[] fields =
                    Files.readString(Path.of("/proc/" + pid + "/stat")).split(" ");
            return fields[2];
        } catch (IOException e) {
            return "";
        }
    }
}
