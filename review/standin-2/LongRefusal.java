import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server runs bookings and then fails with status 503, a long body and no `Not-Executed`. No client may be answered 503
 * for a booking that has run.
 */
final class LongRefusal {
    private static final int SERVERS = 8;
    private static final int CLIENTS = 3;
    private static final long TROUBLE_MILLIS = 6_000;
    private static final int BODY = 300_000;

    /** Of the bookings at the faulty server, one in this many fails so. */
    private static final int FAILS_ONE_IN = 3;
    private final Record record;
    private final Store store = new Store();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger refused = new AtomicInteger();
    private int atFaulty;

    private LongRefusal(Record record) throws Exception {
        this.record = record;
    }

    public static void main(String[] args) {
        Record.run(args[0], record -> new LongRefusal(record).run());
    }

    private int run() throws Exception {
        YardConfig.put(store);
        for (int i = 0; i < SERVERS; i++) new Server(store, "i-yard" + i, "yard", null, 6, this::answer);
        try (Deployment deployment = new Deployment(store)) {
            Client client = deployment.start("front-puget-a-1").client();
            long end = record.millis() + TROUBLE_MILLIS;
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread thread = new Thread(() -> book(client, number, end));
                threads.add(thread);
                thread.start();
            }
            for (Thread thread : threads) thread.join();
            record.line(refused + " bookings that have run were answered 503");
            return refused.get() > 0 ? 1 : 0;
        }
    }

    private void book(Client client, int number, long end) {
        for (int i = 0; record.millis() < end; i++) {
            String id = "book-" + number + "-" + i;
            Client.Result result = client.send("POST", "/book/x", id, "Deadline-Ms: 3000\r\n", new byte[600], 4_000);
            if (result.isServed()) continue;
            record.line(id + " answered " + result.status() + ", complete " + result.complete() + ", has run "
                + ran.contains(id));
            if (result.status() == 503 && result.complete() && ran.contains(id)) refused.incrementAndGet();
        }
    }

    private void answer(Server server, Http.Message request, Listener.Connection connection) throws Exception {
        String id = request.headers.get("Request-Id");
        ran.add(id);
        record.line(server.id + " runs " + id);
        if (!connection.work(30)) return;
        if (Record.isTrouble() && server.id.equals("i-yard0") && failsNow()) {
            record.line(server.id + " fails " + id + " with 503 after it has run");
            connection.respond(503, server.own(request), new byte[BODY]);
        } else {
            connection.respond(200, server.own(request), new byte[800]);
        }
    }

    private synchronized boolean failsNow() {
        return atFaulty++ % FAILS_ONE_IN == FAILS_ONE_IN - 1;
    }
}
