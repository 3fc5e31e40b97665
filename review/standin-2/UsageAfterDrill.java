import java.util.ArrayList;
import java.util.Collections;
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
    private static final long PERIOD = 1_000;

    /** They differ in how the renewals of the lease lie against the closing of windows. */
    private static final int DEPLOYMENTS = 3;
    private final Record record;
    private final String name;
    private final Store store = new Store();
    private volatile boolean away;
    private volatile long closingAt;
    private volatile long renewedAt;
    private volatile boolean stop;
    private volatile boolean drilled;

    private UsageAfterDrill(Record record, String name) throws Exception {
        this.record = record;
        this.name = name;
    }

    public static void main(String[] args) {
        Record.run(args[0], UsageAfterDrill::runAll);
    }

    /** 1 if the rule was broken in one of the deployments, 2 if one of them could not be judged. */
    private static int runAll(Record record) throws Exception {
        List<Integer> results = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < DEPLOYMENTS; i++) {
            UsageAfterDrill deployment = new UsageAfterDrill(record, "deployment " + i + ": ");
            Thread thread = new Thread(() -> results.add(deployment.runOrFail()));
            threads.add(thread);
            thread.start();
            Thread.sleep(PERIOD / DEPLOYMENTS);
        }
        for (Thread thread : threads) thread.join();
        if (results.contains(1)) return 1;
        return results.contains(2) ? 2 : 0;
    }

    private int runOrFail() {
        try {
            return run();
        } catch (Exception e) {
            line("could not run: " + e);
            return 2;
        }
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
            long end = (System.currentTimeMillis() / WINDOW + 2) * WINDOW;
            sleepUntil(end - 900);
            Store.Copy copy = store.copy();
            line("copy of the store, 900 ms before window " + (end / WINDOW - 1) + " ends");
            // The window is closed one to three seconds after its end, and the next one five seconds later.
            sleepUntil(end + 4_000);
            awaitDrillTime();
            if (Record.isTrouble()) drill(copy);
            sleepUntil(end + 2 * WINDOW + 6_000);
            stop = true;
            return judge();
        }
    }

    /** Waits for a renewal of the lease in the last second before the next window is closed. */
    private void awaitDrillTime() throws InterruptedException {
        long closes = closingAt + WINDOW;
        sleepUntil(closes - PERIOD);
        long renewed = renewedAt;
        while (renewedAt == renewed && System.currentTimeMillis() < closes - 50) Thread.sleep(1);
    }

    private void drill(Store.Copy copy) throws Exception {
        long now = System.currentTimeMillis();
        line("the lease was renewed " + (now - renewedAt) + " ms ago; the next window closes in about "
            + (closingAt + WINDOW - now) + " ms");
        // The renewal is answered first.
        Thread.sleep(5);
        away = true;
        Thread.sleep(AWAY);
        store.restore(copy);
        drilled = true;
        away = false;
        line("the store is back from the copy after " + AWAY + " ms");
    }

    private void line(String text) {
        record.line(name + text);
    }

    private static void sleepUntil(long wallMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, wallMillis - System.currentTimeMillis()));
    }

    private boolean admit(Http.Message call, Listener.Connection connection) throws Exception {
        if (call.target().startsWith("/api/rows-tx") && call.text().contains("usage/window/")) {
            closingAt = System.currentTimeMillis();
            if (drilled) line("a window is closed");
        }
        if (call.target().startsWith("/api/rows-tx") && call.text().contains("\"beat/usage-0\"")) {
            renewedAt = System.currentTimeMillis();
            if (drilled) line("the lease is renewed");
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
                if (!result.isServed()) line(id + " answered " + result.status());
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
                line("report by " + call.holder() + " with token " + call.token() + ": " + call.body());
                Map<String, Object> body = Json.readObject(call.body());
                reports.computeIfAbsent((Long) body.get("window"), it -> new HashSet<>())
                    .add(Json.write(body.get("counts")));
            }
        }
        boolean broken = false;
        for (Map.Entry<Long, Set<String>> report : reports.entrySet()) {
            if (report.getValue().size() < 2) continue;
            line("window " + report.getKey() + " was reported with different counts: " + report.getValue());
            broken = true;
        }
        if (reports.size() < 3) {
            line("only " + reports.size() + " windows were reported");
            return broken ? 1 : 2;
        }
        return broken ? 1 : 0;
    }
}
