import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The store, whose era is 0 until then, comes back from a copy some seconds old. No window may be reported twice with
 * different counts.
 */
final class UsageAfterDrill {
    private static final long WINDOW = 5_000;
    private static final long AWAY = 30;

    /** The holder of the duty renews its lease, and looks for windows to close, about as often. */
    private static final long PERIOD = 1_010;
    private final Record record;
    private final Store store = new Store();
    private volatile boolean away;
    private volatile long closingAt;
    private volatile long renewedAt;
    private volatile boolean stop;

    private UsageAfterDrill(Record record) throws Exception {
        this.record = record;
    }

    public static void main(String[] args) {
        Record.run(args[0], record -> new UsageAfterDrill(record).run());
    }

    private int run() throws Exception {
        store.startEra(Long.parseLong(System.getenv().getOrDefault("FIRST_ERA", "0")));
        store.gate = this::admit;
        YardConfig.put(store);
        for (int i = 0; i < 3; i++) new Server(store, "i-yard" + i, "yard", null, 6, UsageAfterDrill::answer);
        try (Deployment deployment = new Deployment(store)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 1; i <= 2; i++) clients.add(deployment.start("front-puget-a-" + i).client());
            for (int i = 0; i < 4; i++) load(clients.get(i % 2), i);
            Thread.sleep(6_000);
            long end = (System.currentTimeMillis() / WINDOW + 3) * WINDOW;
            sleepUntil(end - 900);
            Store.Copy copy = store.copy();
            record.line("copy of the store, 900 ms before window " + (end / WINDOW - 1) + " ends");
            // The window is closed about 1.6 s after its end, and the next one five seconds later.
            sleepUntil(end + 4_500);
            awaitDrillTime();
            if (Record.isTrouble()) drill(copy);
            sleepUntil(end + 2 * WINDOW + 9_000);
            stop = true;
            return judge();
        }
    }

    /** Waits until shortly before the next window is closed, and until the last renewal of the lease before that. */
    private void awaitDrillTime() throws InterruptedException {
        long closes = closingAt + WINDOW - 20;
        sleepUntil(closes - 400);
        long renewed = renewedAt;
        long renews = renewed;
        while (renews < System.currentTimeMillis()) renews += PERIOD;
        if (renews > closes) {
            sleepUntil(closes - 150 - AWAY);
        } else {
            while (renewedAt == renewed && System.currentTimeMillis() < closes) Thread.sleep(1);
            Thread.sleep(10);
        }
    }

    private void drill(Store.Copy copy) throws Exception {
        away = true;
        Thread.sleep(AWAY);
        store.restore(copy);
        away = false;
        record.line("the store is back from the copy after " + AWAY + " ms");
    }

    private static void sleepUntil(long wallMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, wallMillis - System.currentTimeMillis()));
    }

    private boolean admit(Http.Message call, Listener.Connection connection) throws Exception {
        if (call.target().startsWith("/api/rows-tx") && call.text().contains("usage/window/")) {
            closingAt = System.currentTimeMillis();
        }
        if (call.target().startsWith("/api/rows-tx") && call.text().contains("\"beat/usage-0\"")) {
            renewedAt = System.currentTimeMillis();
        }
        if (!away) return true;
        connection.respond(503, "", new byte[0]);
        return false;
    }

    private static void answer(Server server, Http.Message request, Listener.Connection connection) throws Exception {
        if (connection.work(40)) connection.respond(200, server.own(request), new byte[800]);
    }

    private void load(Client client, int number) {
        Listener.thread(() -> {
            for (int i = 0; !stop; i++) {
                String id = "look-" + number + "-" + i;
                Client.Result result = client.send("GET", "/look/x", id, "Deadline-Ms: 3000\r\n", new byte[0], 3_000);
                if (!result.isServed()) record.line(id + " answered " + result.status());
                try {
                    Thread.sleep(50);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    private int judge() {
        Map<Long, Set<String>> reports = new HashMap<>();
        synchronized (store.dutyCalls) {
            for (Store.DutyCall call : store.dutyCalls) {
                record.line("report by " + call.holder() + " with token " + call.token() + ": " + call.body());
                Map<String, Object> body = Json.readObject(call.body());
                reports.computeIfAbsent((Long) body.get("window"), it -> new HashSet<>())
                    .add(Json.write(body.get("counts")));
            }
        }
        boolean broken = false;
        for (Map.Entry<Long, Set<String>> report : reports.entrySet()) {
            if (report.getValue().size() < 2) continue;
            record.line("window " + report.getKey() + " was reported with different counts: " + report.getValue());
            broken = true;
        }
        if (reports.size() < 3) {
            record.line("only " + reports.size() + " windows were reported");
            return broken ? 1 : 2;
        }
        return broken ? 1 : 0;
    }
}
