import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A prefill server turns slow, and two of the other servers each lose the answer of one run. Then clients look
 * something up at another service, which is sound: each must have an answer half a second after its route's timeout.
 */
final class SilentNode {
    private static final String CONFIG = """
        {"version":7,"routes":[
        {"name":"brief","host":"%1$s","prefix":"/brief/","kind":"streaming","timeout_ms":5000,"target_latency_ms":600,
        "priority":2,"service":"planner","max_attempts":2,"auth_exempt":false,"sticky":true,"resumable":true,
        "gap_target_ms":250},
        {"name":"look","host":"%1$s","prefix":"/look/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,
        "priority":2,"service":"yard","max_attempts":2,"auth_exempt":false}],
        "services":[{"name":"planner","health_path":"/health","max_connections":300,"protocol":"h1","tls":false,
        "engine":{"slots":48,"kv_capacity":444000,"kv_token_bytes":131072,"link_mbps":1600000.0,"most":12,
        "handle_ttl_s":5.0,"switch_s":3.0,"models":[{"name":"m"}]}},
        {"name":"yard","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"hule930","api_keys":["%2$s"],"priority":1}]}""";
    private static final String STRICKEN = "stricken";
    private static final int BRIEFS = 99;
    private static final int BRIEF_CLIENTS = 3;
    private static final int LOOKS = 20;

    /** The time that a prompt of 20,000 tokens takes; a slow server takes five times as long. */
    private static final long PREFILL_MILLIS = 380;
    private static final int SLOWDOWN = 5;

    /** A prompt is read at half the speed beside a decode server's streams. */
    private static final long FULL_RUN_MILLIS = 600;

    /** The same after another such prompt and half of a third. */
    private static final long QUEUED_RUN_MILLIS = 1_600;
    private final Record record;
    private final AtomicInteger fullRuns = new AtomicInteger();

    private SilentNode(Record record) {
        this.record = record;
    }

    public static void main(String[] args) {
        Record.run(args[0], record -> new SilentNode(record).run());
    }

    private int run() throws Exception {
        Store store = new Store();
        store.put("op", "config", CONFIG.formatted(Deployment.HOST, Deployment.KEY));
        for (int i = 0; i < 4; i++) new Server(store, "i-prefill" + i, "planner", "prefill", 48, this::engine);
        for (int i = 0; i < 8; i++) new Server(store, "i-decode" + i, "planner", "decode", 48, this::engine);
        for (int i = 0; i < 3; i++) new Server(store, "i-yard" + i, "yard", null, 6, this::yard);
        try (Deployment deployment = new Deployment(store)) {
            Client client = deployment.start("front-puget-a-1").client();
            Thread.sleep(3_500);
            usualBriefs(client);
            Listener.thread(() -> brief(client, STRICKEN, 7));
            Thread.sleep(4_900);
            return judge(looks(client));
        }
    }

    private void usualBriefs(Client client) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < BRIEF_CLIENTS; i++) {
            int first = i;
            Thread thread = new Thread(() -> {
                for (int number = first; number < BRIEFS; number += BRIEF_CLIENTS) {
                    brief(client, "usual" + number, number);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) thread.join();
    }

    private void brief(Client client, String id, int number) {
        String prompt = "Model: m\r\nToken-Count: 20000,120\r\nPrompt-Prefix: 5c1e07a" + number % 10 + ":15000," + id
            + ":5000\r\nDeadline-Ms: 5000\r\n";
        Client.Result result = client.send("POST", "/brief/x", id, prompt, new byte[17_000], 8_000);
        record.line("brief " + id + " answered " + result.status() + " complete " + result.complete() + " after "
            + result.millis() + " ms");
    }

    private List<Client.Result> looks(Client client) throws Exception {
        List<Client.Result> results = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < LOOKS; i++) {
            String id = "look" + i;
            Thread thread = new Thread(() -> {
                Client.Result result = client.send("GET", "/look/x", id, "Deadline-Ms: 3000\r\n", new byte[0], 3_000);
                record.line(id + " answered " + result.status() + " after " + result.millis() + " ms");
                synchronized (results) {
                    results.add(result);
                }
            });
            threads.add(thread);
            thread.start();
            Thread.sleep(100);
        }
        for (Thread thread : threads) thread.join();
        return results;
    }

    private int judge(List<Client.Result> looks) {
        long late = looks.stream().filter(it -> it.status() == 0 || it.millis() > 2_000).count();
        record.line(late + " of " + looks.size() + " requests had no answer 0.5 s after their route's timeout_ms");
        return late >= 8 && late * 4 > looks.size() ? 1 : 0;
    }

    private void yard(Server server, Http.Message request, Listener.Connection connection) throws Exception {
        if (connection.work(60)) connection.respond(200, server.own(request), new byte[800]);
    }

    private void engine(Server server, Http.Message request, Listener.Connection connection) throws Exception {
        String id = request.headers.get("Request-Id");
        boolean stricken = id.equals(STRICKEN) && Record.isTrouble();
        record.line(server.id + " got " + id + (Server.isPrefillCall(request) ? " to prefill" : "")
            + (request.headers.containsKey("Kv-Source") ? " with its memory" : ""));
        if (Server.isPrefillCall(request)) {
            if (!connection.work(stricken ? PREFILL_MILLIS * SLOWDOWN : PREFILL_MILLIS)) return;
            server.answerPrefill(request, connection);
            return;
        }
        boolean hasMemory = request.headers.containsKey("Kv-Source");
        if (stricken && !hasMemory) {
            if (!connection.work(fullRuns.incrementAndGet() == 1 ? FULL_RUN_MILLIS : QUEUED_RUN_MILLIS)) return;
            record.line(server.id + " loses its answer to " + id);
            connection.reset();
            return;
        }
        if (!connection.work(hasMemory ? 30 : FULL_RUN_MILLIS)) return;
        server.stream(request, connection, Server.lastEvent(request) + 1, 12, 33);
    }
}
