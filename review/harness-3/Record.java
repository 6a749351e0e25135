import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, a line each with the time in seconds from its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void write(String line) {
        out.printf("%8.3f  %s%n", seconds(), line);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    @Override
    public void close() {
        out.close();
    }
}
