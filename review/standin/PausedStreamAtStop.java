import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server pauses in the middle of its streams, as when it preempts them, and goes on, while the node that took the
 * requests is stopped as planned and the other server is full.
 */
final class PausedStreamAtStop extends Case {
    private static final int CLIENTS = 6;
    private static final int EVENTS = 12;
    private static final int EVENT_MILLIS = 100;
    private static final int PAUSE_MILLIS = 1_600;
    private static final int TIMEOUT_MILLIS = 6_000;

    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();

    PausedStreamAtStop(String folder) throws Exception {
        super(folder);
    }

    @Override
    boolean run() throws Exception {
        config(7, "streaming", "\"resumable\":true,\"gap_target_ms\":250,", TIMEOUT_MILLIS, 2, KEY);
        BackendServer[] servers = new BackendServer[2];
        servers[0] = new BackendServer(this, "i-1", 1_000, (request, out, socket) -> {
            if (!servers[0].misdirected(request, out)) stream(request, out);
            return true;
        });
        servers[1] = new BackendServer(this, "i-2", 1_000, (request, out, socket) -> {
            if (servers[1].misdirected(request, out)) return true;
            note("server i-2 is full: rejects " + request.header("Request-Id"));
            Http.respond(out, 503, "Request-Id: " + request.header("Request-Id") + "\r\nNot-Executed: 1\r\n", new byte[0]);
            return true;
        });
        Node node = startNode("front-puget-a-1");
        awaitReady(node);
        Thread.sleep(4_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "stream-" + i;
            threads.add(Http.daemon(id, () -> read(node, id)));
        }
        Thread.sleep(300);
        terminate(node);
        for (Thread thread : threads) thread.join();
        note(whole + " whole streams, " + cut + " cut, " + other + " other answers");
        return cut.get() > 0;
    }

    private void stream(Http.Message request, OutputStream out) throws Exception {
        String id = request.header("Request-Id");
        note("server i-1 runs " + id);
        Http.write(out, "HTTP/1.1 200 OK\r\n" + BackendServer.proof(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
        try {
            for (int event = 1; event <= EVENTS; event++) {
                byte[] bytes = ("id: " + event + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8);
                Http.write(out, Integer.toHexString(bytes.length) + "\r\n", bytes);
                out.write("\r\n".getBytes());
                Thread.sleep(trouble && event == EVENTS / 2 ? PAUSE_MILLIS : EVENT_MILLIS);
            }
            Http.write(out, "0\r\n\r\n", new byte[0]);
            note("server i-1 has ended the stream of " + id);
        } catch (java.io.IOException e) {
            note("server i-1: the node closed the channel of " + id + ": " + e.getMessage());
            throw e;
        }
    }

    private void read(Node node, String id) throws Exception {
        double sentAt = seconds();
        int events = 0;
        try (Client client = new Client(node.callers(), 0, TIMEOUT_MILLIS)) {
            client.request("POST", "/shop/quote", id, KEY, TIMEOUT_MILLIS, "{}".getBytes());
            Http.Message head = Http.readHead(client.in);
            if (head == null) throw new java.io.EOFException("closed without an answer");
            if (head.status() != 200) {
                note(id + ": status " + head.status());
                other.incrementAndGet();
                return;
            }
            BufferedReader lines = new BufferedReader(new InputStreamReader(client.in, StandardCharsets.UTF_8));
            boolean ended = false;
            for (String line = lines.readLine(); line != null && !ended; line = lines.readLine()) {
                if (line.startsWith("id: ")) events++;
                ended = line.equals("0");
                if (ended) break;
            }
            if (!ended) throw new java.io.EOFException("closed within the stream");
            note(String.format("%s: %d events and the end after %.3f s", id, events, seconds() - sentAt));
            whole.incrementAndGet();
        } catch (java.io.IOException e) {
            note(String.format("%s: cut after %d events, %.3f s: %s", id, events, seconds() - sentAt, e));
            cut.incrementAndGet();
        }
    }

    public static void main(String[] arguments) throws Exception {
        new PausedStreamAtStop(arguments[0]).execute();
    }
}
