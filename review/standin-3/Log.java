import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the milliseconds since the start, in a file and on standard output. */
final class Log {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Log(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    synchronized void line(String text) {
        String line = String.format("%7d %s", (System.nanoTime() - startedAt) / 1_000_000L, text);
        out.println(line);
    }

    /** A line that is also shown to whoever runs the case. */
    synchronized void show(String text) {
        line(text);
        System.out.println(text);
    }
}
