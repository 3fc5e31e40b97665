import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for a backend server. Requests that are for it go to {@link Behaviour}; it answers the rest itself. */
final class Server {
    /** What a server does with a request. */
    interface Behaviour {
        void run(Server server, Http.Message request, Listener.Connection connection) throws Exception;
    }

    private static final long HEARTBEAT_MILLIS = 1_200;
    private final Listener listener;
    private final Store store;
    private final Map<String, Object> entry = new LinkedHashMap<>();
    final String id;
    private final Behaviour behaviour;
    private volatile boolean announced = true;

    /** A server that announces itself in the store; [stage] is null for a plain service. */
    Server(Store store, String id, String service, String stage, int slots, Behaviour behaviour) throws IOException {
        this.store = store;
        this.id = id;
        this.behaviour = behaviour;
        listener = new Listener(this::handle);
        entry.put("service", service);
        entry.put("address", listener.address());
        entry.put("zone", "puget-a");
        entry.put("version", "v1");
        entry.put("slots", slots);
        entry.put("state", "ready");
        entry.put("cold_remaining_ms", 0);
        if (stage != null) {
            entry.put("stage", stage);
            entry.put("models", List.of(new LinkedHashMap<>(Map.of("name", "m", "version", 1))));
        }
        entry.put("born", System.currentTimeMillis());
        entry.put("sequence", 0);
        announce();
        Listener.thread(this::beat);
    }

    String address() {
        return listener.address();
    }

    boolean isPrefill() {
        return "prefill".equals(entry.get("stage"));
    }

    /** Reports that it leaves. */
    void drain() {
        entry.put("state", "draining");
        announce();
    }

    private synchronized void announce() {
        if (announced) store.put("servers", id, Json.write(entry));
    }

    private void beat() {
        for (int sequence = 1; announced; sequence++) {
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            entry.put("sequence", sequence);
            announce();
        }
    }

    private void handle(Http.Message request, Listener.Connection connection) throws Exception {
        String path = request.target().split("\\?")[0];
        String expected = request.headers.get("Expect-Instance");
        if (path.equals("/health")) {
            connection.respond(200, "Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (path.startsWith("/api/kv-handle/")) {
            connection.respond(200, "", new byte[0]);
        } else if (expected != null && !expected.equals(id)) {
            connection.respond(421, "Instance-Id: " + id + "\r\nNot-Executed: 1\r\n", new byte[0]);
        } else if (path.equals("/api/kv-events")) {
            if (connection.work(Long.parseLong(request.headers.getOrDefault("Wait-Ms", "0")))) {
                json(connection, "{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}");
            }
        } else if (path.equals("/api/kv-list")) {
            json(connection, "{\"epoch\":1,\"next\":1,\"held\":[]}");
        } else {
            behaviour.run(this, request, connection);
        }
    }

    private static void json(Listener.Connection connection, String body) throws IOException {
        connection.respond(200, "Content-Type: application/json\r\n", body.getBytes());
    }

    /** Headers of an answer to [request] that this server made itself. */
    String own(Http.Message request) {
        return "Request-Id: " + request.headers.get("Request-Id") + "\r\nServer-Stamp: " + id + "\r\n";
    }

    /** Answers the call that only has the prompt read. */
    void answerPrefill(Http.Message request, Listener.Connection connection) throws IOException {
        String body = "{\"kv_handle\":\"h" + Long.toHexString(System.nanoTime()) + "\",\"tokens\":1000,\"version\":1}";
        connection.respond(200, own(request) + "Content-Type: application/json\r\n", body.getBytes());
    }

    /** Streams events [first] to [last], one each [gapMillis], and ends the stream; false if the caller left. */
    boolean stream(Http.Message request, Listener.Connection connection, int first, int last, long gapMillis)
        throws Exception {
        startStream(request, connection);
        for (int event = first; event <= last; event++) {
            if (event > first && !connection.work(gapMillis)) return false;
            event(connection, event);
        }
        connection.write("0\r\n\r\n".getBytes());
        return true;
    }

    void startStream(Http.Message request, Listener.Connection connection) throws IOException {
        connection.head(200, own(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    }

    void event(Listener.Connection connection, int event) throws IOException {
        connection.chunk("id: " + event + "\ndata: token-" + event + "\n\n");
    }

    /** The number of the event after which [request] goes on; 0 at its start. */
    static int lastEvent(Http.Message request) {
        return Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0"));
    }

    static boolean isPrefillCall(Http.Message request) {
        return "prefill".equals(request.headers.get("Stage"));
    }
}
