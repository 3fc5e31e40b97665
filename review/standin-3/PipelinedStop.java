import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients send several requests on a channel without waiting for the answers, and the node gets SIGTERM. */
final class PipelinedStop extends Case {
    private static final int CLIENTS = 6;
    private static final int REQUESTS = 4;
    private static final long WORK_MS = 300;
    private static final long TIMEOUT_MS = 5_000;

    private Relay relay;
    private final Set<String> run = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        new PipelinedStop().main(arguments[0]);
    }

    @Override
    int run() throws Exception {
        ServerSocket server = Http.listen(this::serve);
        platform.put("servers", "i-02d9e6b4", Config.entry("wuno96b", server.getLocalPort(), 6));
        platform.put("op", "config", Config.of(
            Config.list(Config.route("r-spuxsr7", "/cufi504/", "idempotent", "wuno96b", TIMEOUT_MS, 2, false)),
            Config.service("wuno96b", 100)));
        relay = startRelay("front-puget-a-1");
        List<Thread> threads = new ArrayList<>();
        int[] answered = new int[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            threads.add(Http.thread(() -> answered[client] = send("client-" + client)));
        }
        Thread.sleep(450);
        if (hasTrouble) {
            log.line("SIGTERM to the node");
            relay.terminate();
        }
        int total = 0;
        for (int i = 0; i < CLIENTS; i++) {
            threads.get(i).join(3 * TIMEOUT_MS);
            total += answered[i];
        }
        int lost = CLIENTS * REQUESTS - total;
        log.show(total + " of " + CLIENTS * REQUESTS + " requests got an answer, " + lost + " none");
        return lost > 0 ? BROKEN : HELD;
    }

    @Override
    void stop() throws Exception {
        if (relay != null) relay.kill();
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        while (true) {
            Http.Message request = Http.readRequest(in);
            if (request == null) return;
            String id = request.field("Request-Id");
            run.add(id);
            log.line("server runs " + id);
            Thread.sleep(WORK_MS);
            Http.respond(out, 200, "Request-Id: " + id + "\r\nServer-Stamp: stamp-" + id + "\r\n", new byte[800]);
        }
    }

    private int send(String client) {
        int answered = 0;
        try (Socket socket = new Socket(Http.LOOPBACK, relay.callerPort)) {
            socket.setSoTimeout((int) TIMEOUT_MS + 1_000);
            for (int i = 1; i <= REQUESTS; i++) {
                Http.write(socket.getOutputStream(), Config.request("GET", "/cufi504/" + i, client + "-" + i, 0, TIMEOUT_MS));
            }
            log.line(client + " has sent " + REQUESTS + " requests");
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 1; i <= REQUESTS; i++) {
                Http.Message head = Http.readHead(in);
                if (head == null) throw new IOException("the channel has ended");
                Http.readFully(in, Integer.parseInt(head.field("Content-Length")));
                log.line(client + "-" + i + " gets " + head.first + ", Connection: " + head.field("Connection"));
                answered++;
            }
        } catch (IOException e) {
            log.line(client + " gets " + answered + " answers, then: " + e.getMessage());
        }
        return answered;
    }
}
