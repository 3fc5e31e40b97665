import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The store does a write of an idle node, its answer is lost, and the store is silent for some seconds. Then clients
 * come. The usage of each later window has to be reported, within the tolerance.
 */
final class LostProgress {
    private static final long WINDOW = 5_000;
    private static final long SILENCE = 4_500;
    private static final long DUE = 10_000;
    private static final double TOLERANCE = 0.05;
    private final Record record;
    private final Store store = new Store();
    private final Map<Long, Integer> begun = new HashMap<>();
    private volatile boolean armed;
    private volatile long silentUntil;
    private volatile boolean stop;

    private LostProgress(Record record) throws Exception {
        this.record = record;
    }

    public static void main(String[] args) {
        Record.run(args[0], record -> new LostProgress(record).run());
    }

    private int run() throws Exception {
        store.gate = this::admit;
        YardConfig.put(store);
        for (int i = 0; i < 3; i++) new Server(store, "i-yard" + i, "yard", null, 6, this::answer);
        try (Deployment deployment = new Deployment(store)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 1; i <= 2; i++) clients.add(deployment.start("front-puget-a-" + i).client());
            Thread.sleep(6_000);
            armed = Record.isTrouble();
            Thread.sleep(WINDOW + 1_500 + SILENCE);
            if (Record.isTrouble() && silentUntil == 0) return 2;
            // Nodes are in touch again 3 s after the end of the disturbance.
            Thread.sleep(3_000);
            for (int i = 0; i < 4; i++) load(clients.get(i % 2), i);
            long from = System.currentTimeMillis() / WINDOW + 1;
            long to = from + 3;
            Thread.sleep((to + 1) * WINDOW - System.currentTimeMillis());
            stop = true;
            Thread.sleep(DUE);
            return judge(from, to);
        }
    }

    /** Loses the answer to a write by which a node without requests says that it has counted all of them. */
    private boolean admit(Http.Message call, Listener.Connection connection) throws Exception {
        if (System.currentTimeMillis() < silentUntil) {
            connection.work(60_000);
            return false;
        }
        String body = call.text();
        boolean isProgress = call.target().startsWith("/api/rows-tx") && body.contains("\"usage/writer/");
        if (!armed || !isProgress || body.contains("\"usage/segment/")) return true;
        armed = false;
        silentUntil = System.currentTimeMillis() + SILENCE;
        boolean done = store.perform(Json.readObject(body)) == null;
        record.line("the store has done a write (" + done + "), does not answer it, and is silent for " + SILENCE + " ms");
        connection.work(60_000);
        return false;
    }

    private void answer(Server server, Http.Message request, Listener.Connection connection) throws Exception {
        synchronized (begun) {
            begun.merge(System.currentTimeMillis() / WINDOW, 1, Integer::sum);
        }
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

    private int judge(long from, long to) {
        Map<Long, Long> reported = new HashMap<>();
        synchronized (store.dutyCalls) {
            for (Store.DutyCall call : store.dutyCalls) {
                record.line("report by " + call.holder() + " with token " + call.token() + ": " + call.body());
                Map<String, Object> body = Json.readObject(call.body());
                @SuppressWarnings("unchecked")
                Map<String, Object> counts = (Map<String, Object>) body.get("counts");
                reported.put((Long) body.get("window"), (Long) counts.getOrDefault("hule930", 0L));
            }
        }
        int wrong = 0;
        for (long window = from; window <= to; window++) {
            int truth = begun.getOrDefault(window, 0);
            long count = reported.getOrDefault(window, 0L);
            record.line("window " + window + ": " + truth + " requests began, " + count + " were reported");
            if (Math.abs(truth - count) > truth * TOLERANCE) wrong++;
        }
        record.line(wrong + " of " + (to - from + 1) + " windows are missing or off by more than the tolerance");
        return wrong == to - from + 1 ? 1 : 0;
    }
}
