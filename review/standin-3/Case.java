import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Frame of a case: its platform, its temporary folder, and its end with the exit codes of issue 50. */
abstract class Case {
    /** Exit codes; not 0 to 2, so that a JVM that fails by itself isn't taken for a result. */
    static final int HELD = 10;
    static final int BROKEN = 11;
    static final int NOT_RUN = 12;

    /** False if the case is run without its disruption. */
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Log log;
    Platform platform;
    Path folder;

    /** Runs the case; HELD or BROKEN. */
    abstract int run() throws Exception;

    /** Ends the processes that the case has started. */
    abstract void stop() throws Exception;

    Relay startRelay(String name) throws Exception {
        return new Relay(name, platform, folder, log);
    }

    /** Runs the case in the folder [recordFolder], which gets the record, and ends this process. */
    final void main(String recordFolder) {
        int result = NOT_RUN;
        try {
            log = new Log(Path.of(recordFolder, "record.txt"));
            folder = Files.createTempDirectory("case");
            log.line(hasTrouble ? "with the disruption" : "without the disruption");
            platform = new Platform(log);
            result = run();
        } catch (Throwable e) {
            e.printStackTrace();
            if (log != null) log.show("the case could not run: " + e);
        }
        try {
            stop();
            delete();
        } catch (Exception e) {
            e.printStackTrace();
        }
        log.show(result == HELD ? "the rule held" : result == BROKEN ? "the rule was broken" : "not run");
        Runtime.getRuntime().halt(result);
    }

    private void delete() throws IOException {
        if (System.getenv("KEEP") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
