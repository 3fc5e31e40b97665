import java.util.ArrayList;
import java.util.List;

/**
 * The store is silent for the node while a server leaves. The server says so in all its answers, serves on for a while
 * and ends. No request that a client sends later than drain_ms after the node passed on such an answer may reach it.
 */
final class LeavingServer {
    private static final long DRAIN = 2_500;
    private static final long SERVES_ON = 4_500;
    private static final long NEVER = Long.MAX_VALUE / 2;
    private final Record record;
    private final Store store = new Store();
    private final List<String> late = new ArrayList<>();
    private volatile long toldAt = NEVER;
    private volatile long leavesAt = NEVER;
    private volatile boolean ended;
    private volatile int lost;

    private LeavingServer(Record record) throws Exception {
        this.record = record;
    }

    public static void main(String[] args) {
        Record.run(args[0], record -> new LeavingServer(record).run());
    }

    private int run() throws Exception {
        YardConfig.put(store);
        Server leaving = new Server(store, "i-yard0", "yard", null, 6, this::answer);
        for (int i = 1; i < 3; i++) new Server(store, "i-yard" + i, "yard", null, 6, this::answer);
        try (Deployment deployment = new Deployment(store)) {
            Client client = deployment.start("front-puget-a-1", store.otherAddress()).client();
            for (int i = 2; i <= 3; i++) deployment.start("front-puget-a-" + i);
            for (int i = 0; i < 4; i++) load(client, i);
            Thread.sleep(4_000);
            store.isSilentAtOther = Record.isTrouble();
            record.line("the store is silent for the node: " + store.isSilentAtOther);
            // Polls that the store had before the silence have ended by then.
            Thread.sleep(2_200);
            leavesAt = record.millis();
            leaving.drain();
            record.line("i-yard0 leaves, and says so in the store and in its answers");
            Thread.sleep(SERVES_ON);
            ended = true;
            record.line("i-yard0 has ended");
            Thread.sleep(1_000);
            record.line(late.size() + " requests reached i-yard0 that were sent later than " + DRAIN
                + " ms after the node had passed on an answer with Server-Leaving; " + lost + " bookings without "
                + "a whole answer");
            return late.isEmpty() ? 0 : 1;
        }
    }

    private void answer(Server server, Http.Message request, Listener.Connection connection) throws Exception {
        boolean leaves = server.id.equals("i-yard0") && record.millis() >= leavesAt;
        String id = request.headers.get("Request-Id");
        long sentAt = Long.parseLong(id.substring(id.lastIndexOf('-') + 1));
        if (leaves && sentAt > toldAt + DRAIN) {
            synchronized (late) {
                late.add(id);
            }
            record.line("i-yard0 got " + id);
        }
        if (!connection.work(85)) return;
        if (leaves && ended) {
            connection.reset();
            return;
        }
        connection.respond(200, server.own(request) + (leaves ? "Server-Leaving: 1\r\n" : ""),
            (leaves ? "leaving" : "staying").getBytes());
    }

    private void load(Client client, int number) {
        Listener.thread(() -> {
            while (true) {
                String id = "book-" + number + "-" + record.millis();
                Client.Result result =
                    client.send("POST", "/book/x", id, "Deadline-Ms: 3000\r\n", new byte[600], 3_000);
                if (result.body() != null && result.body().equals("leaving")) told(id);
                if (!result.isServed()) {
                    record.line(id + " answered " + result.status());
                    lost++;
                }
            }
        });
    }

    private synchronized void told(String id) {
        if (toldAt != NEVER) return;
        toldAt = record.millis();
        record.line("the node has passed on an answer with Server-Leaving to " + id);
    }
}
