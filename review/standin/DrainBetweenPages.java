import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers of a large service drain while a node is restarted as planned, and so reads the list of servers, which takes
 * two pages.
 */
final class DrainBetweenPages extends Case {
    private static final int SERVERS = 640;
    private static final int MOST_LEAVING = 96;
    private static final int MILLIS_BETWEEN = 20;
    private static final int START_MILLIS = 300;
    private static final int NODES = 1;
    private static final int DRAIN_MILLIS = 2_500;
    private static final int EXTRA_MILLIS = 2_500;
    private static final int WORK_MILLIS = 250;
    private static final int WARM_UP_MILLIS = 5_000;
    private static final int WATCH_MILLIS = 4_000;
    private static final int CLIENTS = 60;

    private final Map<String, Double> drainingSince = new ConcurrentHashMap<>();
    private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final Map<String, ServerSocket> listeners = new HashMap<>();
    private final Map<String, Set<Socket>> connections = new ConcurrentHashMap<>();
    private final Map<String, Integer> ports = new HashMap<>();

    DrainBetweenPages(String folder) throws Exception {
        super(folder);
    }

    @Override
    boolean run() throws Exception {
        config(7, "non_idempotent", 3_000, 1, KEY);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            String id = String.format("i-%04x", i * 97 % 65_521);
            ServerSocket listener = Http.listen(id, (request, out, socket) -> {
                connections.computeIfAbsent(id, each -> ConcurrentHashMap.newKeySet()).add(socket);
                arrived(id, request);
                Thread.sleep(WORK_MILLIS);
                Http.respond(out, 200, BackendServer.proof(request), "ok".getBytes());
                return true;
            });
            int port = listener.getLocalPort();
            ports.put(id, port);
            listeners.put(id, listener);
            ids.add(id);
            announce(id, port, "ready", 1_000, 0);
        }
        Node[] nodes = new Node[NODES];
        for (int i = 0; i < NODES; i++) nodes[i] = startNode("front-puget-a-" + (i + 1));
        awaitReady(nodes);
        load(nodes, WARM_UP_MILLIS, "warm-up-");
        List<String> leaving = busiest(ids);
        for (Node node : nodes) terminate(node);
        for (Node node : nodes) node.process().waitFor();
        if (!trouble) drain(leaving);
        for (int i = 0; i < NODES; i++) nodes[i] = startNode(nodes[i].name());
        if (trouble) {
            Thread.sleep(START_MILLIS);
            drain(leaving);
        }
        awaitReady(nodes);
        Thread.sleep(DRAIN_MILLIS);
        load(nodes, WATCH_MILLIS, "later-");
        note(answered + " requests answered, " + late + " reached a server more than " + DRAIN_MILLIS
            + " ms after its draining was acknowledged; " + lost + " were lost when a server ended");
        for (Node node : nodes) note("node " + node.name() + " noticed the draining of " + noticed(node) + " servers");
        return late.get() > 0;
    }

    private static long noticed(Node node) throws Exception {
        return java.nio.file.Files.readAllLines(node.log()).stream()
            .filter(line -> line.contains("SERVER_LISTED") && line.contains("\"leaving\":\"true\"")).count();
    }

    /** A server that drains serves for DRAIN_MILLIS and a little longer, and then exits. */
    private void exit(String id) throws Exception {
        Thread.sleep(DRAIN_MILLIS + EXTRA_MILLIS);
        listeners.get(id).close();
        for (Socket socket : connections.getOrDefault(id, Set.of())) socket.close();
    }

    private void drain(List<String> leaving) throws Exception {
        for (String id : leaving) {
            Thread.sleep(MILLIS_BETWEEN);
            announce(id, ports.get(id), "draining", 1_000, 1);
            drainingSince.put(id, seconds());
            note("draining of " + id + " acknowledged");
            Http.daemon(id + "-exit", () -> exit(id));
        }
    }

    /** The servers that leave: those that the nodes have sent requests to, in the order of their ids. */
    private List<String> busiest(List<String> ids) {
        List<String> leaving = new ArrayList<>(ids);
        leaving.sort((a, b) -> Integer.compare(arrivals.getOrDefault(b, 0), arrivals.getOrDefault(a, 0)));
        leaving.removeIf(id -> !arrivals.containsKey(id));
        leaving = new ArrayList<>(leaving.subList(0, Math.min(MOST_LEAVING, leaving.size())));
        java.util.Collections.sort(leaving);
        return leaving;
    }

    private void arrived(String id, Http.Message request) {
        arrivals.merge(id, 1, Integer::sum);
        Double since = drainingSince.get(id);
        if (since == null || seconds() - since <= DRAIN_MILLIS / 1000.0) return;
        late.incrementAndGet();
        note(String.format("%s reached %s %.3f s after its draining was acknowledged", request.header("Request-Id"), id,
            seconds() - since));
    }

    private void load(Node[] nodes, int millis, String phase) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Node node = nodes[i % nodes.length];
            int client = i;
            threads.add(Http.daemon("client-" + i, () -> {
                try (Client connection = new Client(node.callers(), 0, 4_000)) {
                    for (int k = 0; System.nanoTime() < end; k++) {
                        String id = phase + client + "-" + k;
                        connection.request("POST", "/shop/book", id, KEY, 3_000, "{}".getBytes());
                        int status = connection.receive().status();
                        if (status == 200) answered.incrementAndGet();
                        else note(id + ": status " + status);
                        if (status == 502 || status == 504) lost.incrementAndGet();
                    }
                }
            }));
        }
        for (Thread thread : threads) thread.join();
    }

    public static void main(String[] arguments) throws Exception {
        new DrainBetweenPages(arguments[0]).execute();
    }
}
