import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A server's streams have neither a length nor chunks and end with their channel. The node that passes them on is
 * killed midway. No client may take what it has for the whole answer.
 */
final class KilledNode extends Case {
    private static final int CLIENTS = 8;
    private static final int EVENTS = 40;
    private static final long EVENT_MS = 50;
    /** In the middle of the streams, which last two seconds. */
    private static final long KILL_AFTER_MS = 1_000;
    private static final long CLIENT_TIMEOUT_MS = 6_000;

    private Relay relay;

    public static void main(String[] arguments) {
        new KilledNode().main(arguments[0]);
    }

    @Override
    int run() throws Exception {
        ServerSocket server = Http.listen(this::serve);
        platform.put("servers", "i-7f3a91c2", Config.entry("huvo11a", server.getLocalPort(), 48));
        platform.put("op", "config", Config.of(
            Config.list(Config.route("r-i427eya", "/pufi791/", "streaming", "huvo11a", 6_000, 1, false)),
            Config.service("huvo11a", 300)));
        relay = startRelay("front-puget-a-1");
        List<Answer> answers = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            Answer answer = new Answer("request-" + i);
            answers.add(answer);
            clients.add(Http.thread(answer::fetch));
        }
        Thread.sleep(KILL_AFTER_MS);
        if (hasTrouble) {
            log.line("SIGKILL to the node");
            relay.kill();
        }
        for (Thread client : clients) client.join(CLIENT_TIMEOUT_MS + 2_000);
        int broken = 0;
        int whole = 0;
        for (Answer answer : answers) {
            log.line(answer.toString());
            if (answer.isWhole()) whole++;
            if (answer.isComplete() && !answer.isWhole()) broken++;
        }
        log.show(whole + " whole answers; " + broken + " cut answers that look complete, of " + CLIENTS);
        if (!hasTrouble && whole < CLIENTS) throw new IOException("Not all clients were served.");
        return broken > 0 ? BROKEN : HELD;
    }

    @Override
    void stop() throws Exception {
        if (relay != null) relay.kill();
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    private static String wholeBody() {
        StringBuilder body = new StringBuilder();
        for (int id = 1; id <= EVENTS; id++) body.append(event(id));
        return body.toString();
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        Http.Message request = Http.readRequest(in);
        if (request == null) return;
        String id = request.field("Request-Id");
        log.line("server runs " + id);
        Http.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp-" + id +
            "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            Http.write(out, event(event));
            Thread.sleep(EVENT_MS);
        }
        log.line("server has answered " + id + " to its end");
    }

    /** What one client gets. */
    private final class Answer {
        private final String id;
        private Http.Message head;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private String end = "no answer";
        private boolean hasCleanEnd;

        Answer(String id) {
            this.id = id;
        }

        void fetch() throws Exception {
            try (Socket socket = new Socket(Http.LOOPBACK, relay.callerPort)) {
                socket.setSoTimeout((int) CLIENT_TIMEOUT_MS);
                Http.write(socket.getOutputStream(), Config.request("POST", "/pufi791/2f", id, 0, CLIENT_TIMEOUT_MS));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                head = Http.readHead(in);
                if (head != null) readBody(in);
            } catch (IOException e) {
                end = "channel failed: " + e.getMessage();
            }
        }

        /** Reads as HTTP/1.1 says: by chunks, by a length, or else until the channel ends. */
        private void readBody(InputStream in) throws IOException {
            if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
                while (true) {
                    int size = Integer.parseInt(String.valueOf(Http.readLine(in)).trim(), 16);
                    body.write(Http.readFully(in, size));
                    Http.readLine(in);
                    if (size == 0) break;
                }
                end = "last chunk";
            } else if (head.field("Content-Length") != null) {
                body.write(Http.readFully(in, Integer.parseInt(head.field("Content-Length"))));
                end = "length reached";
            } else {
                for (int b = in.read(); b >= 0; b = in.read()) body.write(b);
                end = "end of the channel, without a reset";
            }
            hasCleanEnd = true;
        }

        /** True if nothing shows the client that the answer is not whole. */
        boolean isComplete() {
            String text = body.toString(StandardCharsets.UTF_8);
            boolean endsInsideEvent = !text.isEmpty() && !text.endsWith("\n\n");
            return head != null && head.status() == 200 && hasCleanEnd && !endsInsideEvent;
        }

        boolean isWhole() {
            return isComplete() && body.toString(StandardCharsets.UTF_8).equals(wholeBody());
        }

        @Override
        public String toString() {
            int events = body.toString(StandardCharsets.UTF_8).split("\n\n", -1).length - 1;
            return id + ": " + (head == null ? "no head" : head.first + ", proof " + head.field("Server-Stamp")) + ", " +
                events + " of " + EVENTS + " events, " + end;
        }
    }
}
