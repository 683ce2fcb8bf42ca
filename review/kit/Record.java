import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time since its start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), false);
    }

    synchronized void line(String format, Object... args) {
        out.printf(Locale.ROOT, "%8.3f  %s%n", seconds(), String.format(Locale.ROOT, format, args));
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
