import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The servers of a service turn requests away with 503 and `Retry-After`; the node may send them nothing for so long. */
final class BusyServer {
    private static final long BUSY_SECONDS = 4;
    private static final long SLACK = 500;
    private final Record record;
    private final Store store = new Store();
    private final Map<String, Integer> early = new ConcurrentHashMap<>();
    private final Map<String, Long> toldAt = new ConcurrentHashMap<>();
    private volatile long busyFrom = Long.MAX_VALUE;

    private BusyServer(Record record) throws Exception {
        this.record = record;
    }

    public static void main(String[] args) {
        Record.run(args[0], record -> new BusyServer(record).run());
    }

    private int run() throws Exception {
        YardConfig.put(store);
        for (int i = 0; i < 3; i++) new Server(store, "i-yard" + i, "yard", null, 6, this::answer);
        try (Deployment deployment = new Deployment(store)) {
            Client client = deployment.start("front-puget-a-1").client();
            for (int i = 0; i < 8; i++) load(client, i);
            Thread.sleep(4_000);
            if (Record.isTrouble()) busyFrom = record.millis();
            Thread.sleep(BUSY_SECONDS * 1_000 + 1_000);
            record.line("requests between half a second after a server's first 503 with Retry-After and the end of that "
                + "time: " + early);
            return early.values().stream().anyMatch(it -> it > 2) ? 1 : 0;
        }
    }

    private void answer(Server server, Http.Message request, Listener.Connection connection) throws Exception {
        long now = record.millis();
        boolean busy = now >= busyFrom && now < busyFrom + BUSY_SECONDS * 1_000;
        if (!busy) {
            if (connection.work(85)) connection.respond(200, server.own(request), new byte[800]);
            return;
        }
        String id = request.headers.get("Request-Id");
        long told = toldAt.getOrDefault(server.id, now);
        if (now > told + SLACK && now < told + BUSY_SECONDS * 1_000) early.merge(server.id, 1, Integer::sum);
        record.line(server.id + " turns " + id + " away with Retry-After: " + BUSY_SECONDS);
        connection.respond(503, server.own(request) + "Not-Executed: 1\r\nRetry-After: " + BUSY_SECONDS + "\r\n",
            new byte[0]);
        toldAt.putIfAbsent(server.id, now);
    }

    private void load(Client client, int number) {
        Listener.thread(() -> {
            for (int i = 0; true; i++) {
                String id = "look-" + number + "-" + i;
                Client.Result result = client.send("GET", "/look/x", id, "Deadline-Ms: 3000\r\n", new byte[0], 3_000);
                if (!result.isServed()) record.line(id + " answered " + result.status());
            }
        });
    }
}
