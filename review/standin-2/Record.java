import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, line by line, with the time in milliseconds since the start of the script. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void write(String who, String what) {
        out.printf("%6d ms  %-9s %s%n", millis(), who, what);
    }
}
