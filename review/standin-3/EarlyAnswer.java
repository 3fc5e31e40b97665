import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload to a server in another region, which begins to answer before it has read all, without a length. It breaks
 * off one answer of twenty and closes that channel while the upload goes on, so that its host resets the channel. No client
 * may get the first half as the answer.
 */
final class EarlyAnswer extends Case {
    private static final int UPLOADS = 160;
    private static final int AT_ONCE = 8;
    /** One answer of so many is broken off. */
    private static final int BROKEN_OFF = 20;
    /** A quarter of a second on the way. */
    private static final int BODY_BYTES = 1_000_000;
    /** The server begins to answer when these have come. */
    private static final int FIRST_BYTES = 300_000;
    private static final int ANSWER_BYTES = 4_000;
    private static final long TIMEOUT_MS = 5_000;

    private final AtomicInteger answers = new AtomicInteger();
    private Relay relay;

    public static void main(String[] arguments) {
        new EarlyAnswer().main(arguments[0]);
    }

    @Override
    int run() throws Exception {
        ServerSocket server = Http.listen(this::serve);
        DistantLink link = new DistantLink(server.getLocalPort(), log);
        var entry = Config.entry("wuno96b", link.port(), 48);
        entry.put("zone", "inland-a");
        platform.put("servers", "i-02d9e6b4", entry);
        platform.put("op", "config", Config.of(
            Config.list(Config.route("r-spuxsr7", "/puxa403/", "non_idempotent", "wuno96b", TIMEOUT_MS, 1, false)),
            Config.service("wuno96b", 100)));
        relay = startRelay("front-puget-a-1");
        int whole = 0;
        int wrong = 0;
        int failed = 0;
        for (int first = 1; first <= UPLOADS; first += AT_ONCE) {
            List<Upload> uploads = new ArrayList<>();
            for (int i = first; i < first + AT_ONCE; i++) {
                uploads.add(new Upload("request-" + i));
                Thread.sleep(5);
            }
            for (Upload upload : uploads) {
                upload.await();
                log.line(upload.toString());
                if (!upload.isSuccess) failed++;
                else if (upload.received == ANSWER_BYTES) whole++;
                else wrong++;
            }
        }
        log.show(whole + " whole answers, " + failed + " failures, " + wrong + " parts of answers as whole ones, of " + UPLOADS);
        if (!hasTrouble && whole < UPLOADS) throw new IOException("Not all clients were served.");
        return wrong > 0 ? BROKEN : HELD;
    }

    @Override
    void stop() throws Exception {
        if (relay != null) relay.kill();
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        Http.Message request = Http.readHead(in);
        if (request == null) return;
        String id = request.field("Request-Id");
        int length = Integer.parseInt(request.field("Content-Length"));
        Http.readFully(in, FIRST_BYTES);
        Http.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp-" + id +
            "\r\nConnection: close\r\n\r\n" + "x".repeat(ANSWER_BYTES / 2));
        int left = length - FIRST_BYTES;
        if (hasTrouble && answers.incrementAndGet() % BROKEN_OFF == 0) {
            // What has come by now is read; what comes later is answered by a reset of the host.
            while (in.available() > 0) left -= in.readNBytes(in.available()).length;
            log.line("server breaks off its answer to " + id + " and closes; " + left + " bytes are still to come");
            return;
        }
        Http.readFully(in, left);
        Http.write(out, "x".repeat(ANSWER_BYTES / 2));
        log.line("server has answered " + id + " to its end");
    }

    /** A client's request and what it gets. */
    private final class Upload {
        private final String id;
        private final Thread thread;
        private Http.Message head;
        private int received;
        private String end = "no answer";
        /** True for a whole 2xx: one whose length is reached, or that ends without a reset if it has none. */
        private boolean isSuccess;

        Upload(String id) {
            this.id = id;
            thread = Http.thread(this::send);
        }

        void await() throws InterruptedException {
            thread.join(2 * TIMEOUT_MS);
        }

        private void send() {
            try (Socket socket = new Socket(Http.LOOPBACK, relay.callerPort)) {
                socket.setSoTimeout((int) TIMEOUT_MS + 1_000);
                OutputStream out = socket.getOutputStream();
                Http.write(out, Config.request("POST", "/puxa403/2f", id, BODY_BYTES, TIMEOUT_MS));
                out.write(new byte[BODY_BYTES]);
                out.flush();
                InputStream in = new BufferedInputStream(socket.getInputStream());
                head = Http.readHead(in);
                if (head == null) return;
                String length = head.field("Content-Length");
                received = length == null ? in.readAllBytes().length : Http.readFully(in, Integer.parseInt(length)).length;
                end = length == null ? "end of the channel, without a reset" : "length reached";
                isSuccess = head.status() / 100 == 2;
            } catch (IOException e) {
                end = "channel failed: " + e.getMessage();
            }
        }

        @Override
        public String toString() {
            return id + ": " + (head == null ? "no head" : head.first + ", proof " + head.field("Server-Stamp") +
                ", length " + head.field("Content-Length")) + ", " + received + " bytes, " + end + "; the server's answer has " +
                ANSWER_BYTES;
        }
    }
}
