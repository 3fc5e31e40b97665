import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Three nodes before a store that comes back from older copies, again and again. Checks that no usage window is reported
 * with two counts, that no token goes back, and that none has two holders. ERA is the store's first number, SEED the
 * drills' seed.
 */
final class DrillStress extends Case {
    private static final int NODES = 3;
    private static final int DRILLS = 12;
    private static final long TIMEOUT_MS = 2_000;

    private final List<Relay> relays = new ArrayList<>();
    private volatile boolean isDone;

    public static void main(String[] arguments) {
        new DrillStress().main(arguments[0]);
    }

    @Override
    int run() throws Exception {
        platform = new Platform(log, Long.parseLong(System.getenv().getOrDefault("ERA", "1")));
        Random random = new Random(Long.parseLong(System.getenv().getOrDefault("SEED", "1")));
        ServerSocket server = Http.listen(this::serve);
        platform.put("servers", "i-02d9e6b4", Config.entry("wuno96b", server.getLocalPort(), 60));
        platform.put("op", "config", Config.of(
            Config.list(Config.route("r-spuxsr7", "/cufi504/", "idempotent", "wuno96b", TIMEOUT_MS, 2, false)),
            Config.service("wuno96b", 100)));
        for (int i = 1; i <= NODES; i++) relays.add(startRelay("front-puget-a-" + i));
        for (Relay relay : relays) Http.thread(() -> sendRequests(relay));
        Thread.sleep(6_000);
        for (int i = 0; i < DRILLS; i++) {
            platform.restore(1_000 + random.nextInt(5_500), 100 + random.nextInt(1_800));
            Thread.sleep(4_000 + random.nextInt(4_000));
        }
        isDone = true;
        return contradictions() > 0 ? BROKEN : HELD;
    }

    @Override
    void stop() throws Exception {
        for (Relay relay : relays) relay.kill();
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        while (true) {
            Http.Message request = Http.readRequest(in);
            if (request == null) return;
            Thread.sleep(10);
            String fields = "Request-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: stamp\r\n";
            Http.respond(out, 200, fields, new byte[100]);
        }
    }

    private void sendRequests(Relay relay) throws InterruptedException {
        Random random = new Random();
        for (int i = 0; !isDone; i++) {
            try (Socket socket = new Socket(Http.LOOPBACK, relay.callerPort)) {
                socket.setSoTimeout((int) TIMEOUT_MS);
                String id = relay.name + "-" + i;
                Http.write(socket.getOutputStream(), Config.request("GET", "/cufi504/x", id, 0, TIMEOUT_MS));
                Http.readHead(new BufferedInputStream(socket.getInputStream()));
            } catch (IOException e) {
                log.line(relay.name + " did not answer: " + e.getMessage());
            }
            Thread.sleep(10 + random.nextInt(30));
        }
    }

    private int contradictions() {
        int found = 0;
        long highest = 0;
        Map<Object, String> countsByWindow = new HashMap<>();
        Map<Long, String> holders = new HashMap<>();
        Set<Object> twice = new HashSet<>();
        for (Platform.Report report : platform.reports()) {
            if (!report.path().equals("/usage")) continue;
            Object window = Json.object(report.body()).get("window");
            String before = countsByWindow.putIfAbsent(window, report.body());
            if (before != null && !before.equals(report.body()) && twice.add(window)) {
                log.show("two counts: " + before + " and " + report.body());
                found++;
            }
            String holder = holders.putIfAbsent(report.token(), report.holder());
            if (holder != null && !holder.equals(report.holder())) {
                log.show("two holders of one token: " + report);
                found++;
            }
            if (report.token() < highest) {
                log.show("a token that goes back: " + report);
                found++;
            }
            highest = Math.max(highest, report.token());
        }
        log.show(countsByWindow.size() + " windows were reported");
        return found;
    }
}
