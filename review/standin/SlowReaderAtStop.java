import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients whose links stall for a few seconds read their answers while the node that took their requests is stopped as planned. */
final class SlowReaderAtStop extends Case {
    private static final int CLIENTS = 100;
    private static final int SMALLEST_ANSWER_BYTES = 2_500_000;
    private static final int ANSWER_STEP_BYTES = 30_000;
    private static final int PAUSE_MILLIS = 4_000;
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final double GRACE_SECONDS = 8;

    private static final byte[] BLOCK = new byte[64 * 1024];

    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private volatile double stoppedAt = Double.NaN;

    SlowReaderAtStop(String folder) throws Exception {
        super(folder);
    }

    @Override
    boolean run() throws Exception {
        config(7, "idempotent", TIMEOUT_MILLIS, 2, KEY);
        BackendServer[] server = new BackendServer[1];
        server[0] = new BackendServer(this, "i-1", 1_000, (request, out, socket) -> {
            if (server[0].misdirected(request, out)) return true;
            int size = Integer.parseInt(request.path().substring("/shop/list-".length()));
            Http.write(out, "HTTP/1.1 200 OK\r\n" + BackendServer.proof(request) + "Content-Length: " + size + "\r\n\r\n",
                new byte[0]);
            for (int left = size; left > 0; left -= BLOCK.length) out.write(BLOCK, 0, Math.min(left, BLOCK.length));
            note("server has written its whole answer to " + request.header("Request-Id"));
            return true;
        });
        Node node = startNode("front-puget-a-1");
        awaitReady(node);
        Thread.sleep(4_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int size = SMALLEST_ANSWER_BYTES + i * ANSWER_STEP_BYTES;
            threads.add(Http.daemon("slow-" + i, () -> read(node, "list-" + size, size)));
        }
        Thread.sleep(300);
        if (trouble) {
            stoppedAt = seconds();
            terminate(node);
        }
        for (Thread thread : threads) thread.join();
        note(whole + " whole answers, " + cut + " answers cut before " + GRACE_SECONDS * 5 / 6 + " s of grace");
        return cut.get() > 0;
    }

    private void read(Node node, String id, int size) throws Exception {
        double sentAt = seconds();
        try (Client client = new Client(node.callers(), RECEIVE_BUFFER_BYTES, TIMEOUT_MILLIS)) {
            client.request("GET", "/shop/list-" + size, id, KEY, TIMEOUT_MILLIS, new byte[0]);
            note("client has sent the whole request " + id);
            Http.Message response = Http.readHead(client.in);
            if (response == null) throw new IOException("closed without an answer");
            Thread.sleep(PAUSE_MILLIS);
            Http.readBody(client.in, response, true);
            note(String.format("%s: status %d, whole answer after %.3f s", id, response.status(), seconds() - sentAt));
            whole.incrementAndGet();
        } catch (IOException e) {
            note(String.format("%s: answer cut after %.3f s: %s", id, seconds() - sentAt, e));
            boolean isLate = seconds() - stoppedAt > GRACE_SECONDS * 5 / 6;
            boolean isTimeUp = (seconds() - sentAt) * 1000 > TIMEOUT_MILLIS;
            if (!isLate && !isTimeUp) cut.incrementAndGet();
        }
    }

    public static void main(String[] arguments) throws Exception {
        new SlowReaderAtStop(arguments[0]).execute();
    }
}
