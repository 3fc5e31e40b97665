import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty server answers a stream request with a long error and breaks that off. The caller must not get the rest of
 * another server's answer in its place, as if the answer were complete.
 */
final class BrokenError {
    private static final String CONFIG = """
        {"version":7,"routes":[
        {"name":"brief","host":"%1$s","prefix":"/brief/","kind":"streaming","timeout_ms":5000,"target_latency_ms":600,
        "priority":2,"service":"planner","max_attempts":2,"auth_exempt":false,"sticky":true,"resumable":true,
        "gap_target_ms":250}],
        "services":[{"name":"planner","health_path":"/health","max_connections":300,"protocol":"h1","tls":false}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"hule930","api_keys":["%2$s"],"priority":1}]}""";
    private static final int BRIEFS = 40;
    private static final int PIECE = 10_000;
    private static final int PIECES = 30;
    private final Record record;
    private final AtomicInteger faulty = new AtomicInteger();

    private BrokenError(Record record) {
        this.record = record;
    }

    public static void main(String[] args) {
        Record.run(args[0], record -> new BrokenError(record).run());
    }

    private int run() throws Exception {
        Store store = new Store();
        store.put("op", "config", CONFIG.formatted(Deployment.HOST, Deployment.KEY));
        for (int i = 0; i < 4; i++) new Server(store, "i-planner" + i, "planner", null, 48, this::answer);
        try (Deployment deployment = new Deployment(store)) {
            Client client = deployment.start("front-puget-a-1").client();
            int mixed = 0;
            for (int i = 0; i < BRIEFS; i++) {
                Client.Result result = client.send("POST", "/brief/x", "brief" + i, "Deadline-Ms: 5000\r\n",
                    new byte[1_500], 8_000);
                boolean looksWhole = result.status() == 500 && result.complete();
                boolean hasOther = result.body() != null && result.body().contains("token-1\n");
                record.line("brief" + i + " answered " + result.status() + " by " + result.stamp() + ", complete "
                    + result.complete() + ", " + (result.body() == null ? 0 : result.body().length()) + " bytes"
                    + (hasOther ? ", with a stream's events" : ""));
                if (looksWhole) mixed++;
            }
            record.line(mixed + " answers that their server broke off look complete");
            return mixed > 0 ? 1 : 0;
        }
    }

    private void answer(Server server, Http.Message request, Listener.Connection connection) throws Exception {
        String id = request.headers.get("Request-Id");
        record.line(server.id + " got " + id);
        if (!connection.work(50)) return;
        if (!Record.isTrouble() || !server.id.equals("i-planner0") || faulty.incrementAndGet() > 1) {
            server.stream(request, connection, Server.lastEvent(request) + 1, 12, 10);
            return;
        }
        connection.head(500, server.own(request) + "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n");
        for (int i = 0; i < PIECES; i++) connection.chunk("x".repeat(PIECE));
        Thread.sleep(100);
        record.line(server.id + " breaks off its answer to " + id + " after " + PIECE * PIECES + " bytes");
        connection.reset();
    }
}
