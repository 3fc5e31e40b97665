import java.io.*;
import java.net.*;
import java.util.*;

final class DrillStress extends Case {
    private final List<Relay> relays = new ArrayList<>();
    private volatile boolean done;
    public static void main(String[] a) { new DrillStress().main(a[0]); }
    @Override int run() throws Exception {
        platform = new Platform(log, Long.parseLong(System.getenv().getOrDefault("ERA", "1")));
        Random random = new Random(Long.parseLong(System.getenv().getOrDefault("SEED", "1")));
        ServerSocket server = Http.listen((socket, in, out) -> {
            while (true) {
                Http.Message r = Http.readRequest(in);
                if (r == null) return;
                Thread.sleep(10);
                Http.respond(out, 200, "Request-Id: " + r.field("Request-Id") + "\r\nServer-Stamp: s\r\n", new byte[100]);
            }
        });
        platform.put("servers", "i-02d9e6b4", Config.entry("wuno96b", server.getLocalPort(), 60));
        platform.put("op", "config", Config.of(
            Config.list(Config.route("r", "/cufi504/", "idempotent", "wuno96b", 2000, 2, false)), Config.service("wuno96b", 100)));
        for (int i = 1; i <= 3; i++) relays.add(startRelay("front-puget-a-" + i));
        for (int i = 0; i < 3; i++) {
            int n = i;
            Http.thread(() -> {
                int k = 0;
                while (!done) {
                    try (Socket s = new Socket(Http.LOOPBACK, relays.get(n).callerPort)) {
                        s.setSoTimeout(2500);
                        Http.write(s.getOutputStream(), Config.request("GET", "/cufi504/x", "q" + n + "-" + k++, 0, 2000));
                        Http.readHead(new BufferedInputStream(s.getInputStream()));
                    } catch (IOException e) { }
                    Thread.sleep(10 + random.nextInt(30));
                }
            });
        }
        Thread.sleep(6000);
        long period = 5000;
        for (int i = 0; i < 7; i++) {
            // The next window that ends at least 0.5 s from now.
            long end = (System.currentTimeMillis() + 500 + period) / period * period;
            long awayAt = end + 6100;
            long awayMs = 800 + random.nextInt(500);
            Thread.sleep(awayAt - System.currentTimeMillis());
            platform.restore(awayAt - (end - 400), awayMs);
            Thread.sleep(1500);
        }
        Thread.sleep(3000);
        done = true;
        Map<String, Set<String>> byWindow = new TreeMap<>();
        int broken = 0;
        long highest = 0; String holder = "";
        Map<Long, String> holders = new HashMap<>();
        for (Platform.Report r : platform.reports()) {
            if (!r.path().equals("/usage")) continue;
            Map<String, Object> body = Json.object(r.body());
            byWindow.computeIfAbsent("" + body.get("window"), x -> new TreeSet<>()).add(r.body());
            if (r.token() < highest) { log.show("lower token " + r); broken++; }
            highest = Math.max(highest, r.token());
            String h = holders.putIfAbsent(r.token(), r.holder());
            if (h != null && !h.equals(r.holder())) { log.show("two holders " + r); broken++; }
        }
        for (Map.Entry<String, Set<String>> e : byWindow.entrySet()) {
            if (e.getValue().size() > 1) { log.show("two counts: " + e.getValue()); broken++; }
        }
        log.show("windows reported: " + byWindow.size());
        return broken > 0 ? BROKEN : HELD;
    }
    @Override void stop() throws Exception { for (Relay r : relays) r.kill(); }
}
