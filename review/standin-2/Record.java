import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt in the folder of the case, with the time in ms. */
final class Record implements AutoCloseable {
    /** A case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    interface Case {
        int run(Record record) throws Exception;
    }

    /** Runs [steps] with a record in [folder] and exits with its result. */
    static void run(String folder, Case steps) {
        int code = 2;
        try (Record record = new Record(folder)) {
            try {
                code = steps.run(record);
            } catch (Exception e) {
                record.line("the case could not run: " + e);
            }
        } catch (IOException e) {
            System.err.println(e);
        }
        System.exit(code);
    }

    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(String folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
    }

    synchronized void line(String text) {
        out.println(millis() + " " + text);
        if (System.getenv("ECHO") != null) System.err.println(millis() + " " + text);
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    /** False with TROUBLE=0: the same without the disruption. */
    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    @Override
    public void close() {
        out.close();
    }
}
