import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Users send orders with bodies within the config's limit, one after the other, each on a channel that it keeps. Then
 * those with small orders fetch lists on their channels. The disruption is a burst: twice as many users.
 */
final class LargeBodies extends Case {
    /** Users without the disruption, and with twice the traffic. Each has a channel of its own. */
    private static final int USUAL_USERS = 75;
    private static final int MANY_USERS = 150;
    /** Users differ in what they send; the config allows 4,194,304 bytes. */
    private static final int[] BODY_BYTES = {4_000_000, 1_000_000, 250_000, 60_000, 600};
    /** Lists that each of the users with the smallest orders fetches. */
    private static final int LISTS = 3;
    private static final int LIST_BYTES = 200_000;
    private static final long TIMEOUT_MS = 3_000;
    private static final long WORK_MS = 20;

    private Relay relay;
    private final java.util.Set<String> run = java.util.concurrent.ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        new LargeBodies().main(arguments[0]);
    }

    @Override
    int run() throws Exception {
        ServerSocket server = Http.listen(this::serve);
        platform.put("servers", "i-02d9e6b4", Config.entry("wuno96b", server.getLocalPort(), 6));
        platform.put("op", "config", Config.of(
            Config.list(Config.route("r-spuxsr7", "/cufi504/", "non_idempotent", "wuno96b", TIMEOUT_MS, 1, false)),
            Config.service("wuno96b", 100)));
        relay = startRelay("front-puget-a-1");
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < (hasTrouble ? MANY_USERS : USUAL_USERS); i++) {
            Client client = new Client("user-" + i);
            clients.add(client);
            client.send("POST", "/cufi504/order", BODY_BYTES[i % BODY_BYTES.length]);
        }
        log.show(run.size() + " of " + clients.size() + " orders have run; the node is ready: " + relay.isReady());
        for (int round = 0; round < LISTS; round++) {
            for (int i = BODY_BYTES.length - 1; i < clients.size(); i += BODY_BYTES.length) {
                clients.get(i).send("GET", "/cufi504/list", 0);
            }
        }
        int lost = 0;
        int unread = 0;
        int answered = 0;
        for (Client client : clients) {
            lost += client.lost;
            unread += client.unread;
            answered += client.answered;
        }
        log.show(answered + " requests were answered; " + lost + " on kept channels have run and their channel ended " +
            "without an answer; " + unread + " others got no answer; the node is alive: " + relay.isAlive() +
            ", ready: " + relay.isReady());
        if (!hasTrouble && unread + lost > 0) throw new IOException("Not all requests were answered.");
        return lost > 3 ? BROKEN : HELD;
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
            log.line("server runs " + id + " with " + request.body.length + " bytes");
            Thread.sleep(WORK_MS);
            int size = request.target().endsWith("list") ? LIST_BYTES : 800;
            Http.respond(out, 200, "Request-Id: " + id + "\r\nServer-Stamp: stamp-" + id + "\r\n", new byte[size]);
        }
    }

    /** A client with a channel that it keeps as long as the node does. */
    private final class Client {
        private final String name;
        private Socket socket;
        private InputStream in;
        private int sequence;
        int answered;
        int lost;
        int unread;

        Client(String name) {
            this.name = name;
        }

        void send(String method, String path, int bytes) {
            String id = name + "-" + ++sequence;
            boolean isKept = socket != null;
            try {
                if (socket == null) open();
                OutputStream out = socket.getOutputStream();
                Http.write(out, Config.request(method, path, id, bytes, TIMEOUT_MS));
                out.write(new byte[bytes]);
                out.flush();
                Http.Message head = Http.readHead(in);
                if (head == null) throw new IOException("The channel has ended.");
                Http.readFully(in, Integer.parseInt(head.field("Content-Length")));
                answered++;
                if (head.status() != 200) log.line(id + " is answered " + head.first);
                if ("close".equalsIgnoreCase(head.field("Connection"))) close();
            } catch (IOException e) {
                boolean hasRun = run.contains(id);
                if (hasRun && isKept) lost++;
                else unread++;
                log.line(id + " on a " + (isKept ? "kept" : "new") + " channel has " + (hasRun ? "run" : "not run") + " and got no answer: " + e.getMessage());
                close();
            }
        }

        private void open() throws IOException {
            socket = new Socket(Http.LOOPBACK, relay.callerPort);
            socket.setSoTimeout((int) (2 * TIMEOUT_MS));
            in = new BufferedInputStream(socket.getInputStream());
        }

        private void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException e) {
                // It has ended.
            }
            socket = null;
        }
    }
}
