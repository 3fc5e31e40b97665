import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One node of the system, started as a process of its own by the `run` line of the deploy file. */
final class Relay {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final String name;
    final int callerPort;
    private final int readinessPort;
    private final Process process;

    Relay(String name, Platform platform, Path folder, Log log) throws Exception {
        this.name = name;
        callerPort = Http.freePort();
        readinessPort = Http.freePort();
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, Json.write(settings(platform)));
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("The deploy file has no run line.");
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(Arrays.asList(run.group(1).split(" "))));
        builder.environment().put("PERSIMMONRELAY_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(new File(folder.toFile(), name + ".log"));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        log.line("started " + name + ", callers on 127.0.0.1:" + callerPort);
        awaitReady();
        log.line(name + " is ready");
    }

    /** Settings of a small deployment, as DEPLOY.md shows them, on loopback addresses. */
    private Map<String, Object> settings(Platform platform) throws IOException {
        Map<String, Object> bounds = Json.map("seed_lag_s", 3L, "reuse_after_s", 2L, "contact_ms", 3000L, "ack_ms",
            4000L, "catch_up_s", 4L, "drain_ms", 2500L, "grace_s", 8L, "loss_slack_ms", 200L, "config_ms", 2500L,
            "rollback_slack_ms", 250L, "skew_max_ms", 5000L, "strict_revoke", false, "revoke_ms", 5000L,
            "retry_budget_ratio", 0.2, "budget_window_s", 10L, "budget_min_retries", 54L, "require_fence", false,
            "lease_ms", 3000L, "thaw_slack_ms", 300L, "usage_window_s", 5L, "usage_tolerance", 0.05, "usage_late_s",
            10L, "recovery_s", 12L, "transit_ms", 200L, "retry_after_s", 7.2);
        return Json.map("node", name, "role", "relay", "machine_class", "front", "serves", List.of("front"), "ip",
            "127.0.0.1", "zone", "puget-a", "region", "puget", "zones", Json.map("puget-a", "puget", "inland-a", "inland"), "listen",
            Json.map("front", "127.0.0.1:" + callerPort, "readiness", "127.0.0.1:" + readinessPort), "internal_ports",
            List.of((long) Http.freePort(), (long) Http.freePort()), "seeds", List.of(), "bootstrap", true,
            "heartbeat_ms", 1200L, "bounds", bounds, "platform",
            Json.map("address", platform.address(), "form", "table", "writes_per_s", 400L, "reads_per_s", 2000L,
                "tx_ms", 5.0, "partition_writes_s", 200L, "row_bytes", 65536L, "across", false, "history_s", 20L),
            "cloud", Json.map("address", platform.address(), "rate_per_s", 50.0, "duties", List.of("usage_report"),
                "duty_per_s", 50.0));
    }

    private void awaitReady() throws Exception {
        for (int i = 0; i < 400; i++) {
            if (!process.isAlive()) throw new IOException(name + " has ended.");
            if (isReady()) return;
            Thread.sleep(50);
        }
        throw new IOException(name + " is not ready within 20 s.");
    }

    /** True if the node answers a readiness check with 200 within a second. */
    boolean isReady() {
        try {
            HttpURLConnection call = (HttpURLConnection) URI.create("http://127.0.0.1:" + readinessPort + "/api/ready")
                .toURL().openConnection();
            call.setConnectTimeout(1000);
            call.setReadTimeout(1000);
            int status = call.getResponseCode();
            InputStream body = status < 400 ? call.getInputStream() : call.getErrorStream();
            if (body != null) body.close();
            return status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    boolean awaitEnd(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    static String body(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
