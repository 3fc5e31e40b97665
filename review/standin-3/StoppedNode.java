import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients on slow links fetch large answers while the node gets SIGTERM. The server has written its answers long
 * before, without a length; the node has the rest in its memory.
 */
final class StoppedNode extends Case {
    /** Answers differ in size by less than what a node keeps of one in its memory. */
    private static final int SMALLEST_BYTES = 5_000_000;
    private static final int SIZE_STEP_BYTES = 25_000;
    private static final int CLIENTS = 60;
    /** Bytes that a client takes in each [STEP_MS], about half a MB a second: a link of 4 Mbit/s. */
    private static final int STEP_BYTES = 16 * 1024;
    private static final long STEP_MS = 32;
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;
    private static final long ROUTE_TIMEOUT_MS = 20_000;

    private final byte[] content = new byte[SMALLEST_BYTES + CLIENTS * SIZE_STEP_BYTES];
    private Relay relay;

    public static void main(String[] arguments) {
        new StoppedNode().main(arguments[0]);
    }

    @Override
    int run() throws Exception {
        for (int i = 0; i < content.length; i++) content[i] = (byte) ('a' + i % 23);
        ServerSocket server = Http.listen(this::serve);
        platform.put("servers", "i-02d9e6b4", Config.entry("wuno96b", server.getLocalPort(), 6));
        platform.put("op", "config", Config.of(
            Config.list(Config.route("r-spuxsr7", "/cufi504/", "idempotent", "wuno96b", ROUTE_TIMEOUT_MS, 2, false)),
            Config.service("wuno96b", 300)));
        relay = startRelay("front-puget-a-1");
        List<Download> downloads = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            Download download = new Download("request-" + i, SMALLEST_BYTES + i * SIZE_STEP_BYTES);
            downloads.add(download);
            clients.add(Http.thread(download::fetch));
        }
        Thread.sleep(100);
        if (hasTrouble) {
            log.line("SIGTERM to the node");
            relay.terminate();
        }
        for (Thread client : clients) client.join(ROUTE_TIMEOUT_MS + 5_000);
        int whole = 0;
        int cut = 0;
        int wrong = 0;
        for (Download download : downloads) {
            log.line(download.toString());
            if (download.isWhole()) whole++;
            else if (download.looksComplete) wrong++;
            else cut++;
        }
        log.show(whole + " whole answers, " + cut + " cut answers, " + wrong + " cut answers that look complete, of " +
            CLIENTS);
        if (!hasTrouble && whole < CLIENTS) throw new IOException("Not all clients were served.");
        return wrong > 0 ? BROKEN : HELD;
    }

    @Override
    void stop() throws Exception {
        if (relay != null) relay.kill();
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        Http.Message request = Http.readRequest(in);
        if (request == null) return;
        String id = request.field("Request-Id");
        log.line("server runs " + id);
        int size = Integer.parseInt(request.target().substring("/cufi504/".length()));
        Http.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp-" + id +
            "\r\nConnection: close\r\n\r\n");
        out.write(content, 0, size);
        out.flush();
        log.line("server has written the answer to " + id + " to its end");
    }

    /** One client's answer, which it takes at the pace of its link. */
    private final class Download {
        private final String id;
        private final int size;
        private Http.Message head;
        private int received;
        private long tookMs;
        private boolean looksComplete;
        private String end = "no answer";

        Download(String id, int size) {
            this.id = id;
            this.size = size;
        }

        void fetch() {
            long startedAt = System.nanoTime();
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
                socket.connect(new InetSocketAddress(Http.LOOPBACK, relay.callerPort), 1_000);
                socket.setSoTimeout((int) ROUTE_TIMEOUT_MS);
                Http.write(socket.getOutputStream(), Config.request("GET", "/cufi504/" + size, id, 0, ROUTE_TIMEOUT_MS));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                head = Http.readHead(in);
                if (head != null) readBody(in);
            } catch (IOException | InterruptedException e) {
                end = "channel failed: " + e.getMessage();
            }
            tookMs = (System.nanoTime() - startedAt) / 1_000_000L;
        }

        private void readBody(InputStream in) throws IOException, InterruptedException {
            boolean isChunked = "chunked".equalsIgnoreCase(head.field("Transfer-Encoding"));
            String length = head.field("Content-Length");
            if (isChunked) {
                while (true) {
                    int size = Integer.parseInt(String.valueOf(Http.readLine(in)).trim(), 16);
                    read(in, size);
                    Http.readLine(in);
                    if (size == 0) break;
                }
                end = "last chunk";
            } else {
                read(in, length == null ? Integer.MAX_VALUE : Integer.parseInt(length));
                end = "end of the channel, without a reset";
                if (length != null && received < Integer.parseInt(length)) return;
            }
            looksComplete = true;
        }

        /** Reads [wanted] bytes, or less if the channel ends before. */
        private void read(InputStream in, int wanted) throws IOException, InterruptedException {
            byte[] buffer = new byte[STEP_BYTES];
            int left = wanted;
            while (left > 0) {
                int count = in.readNBytes(buffer, 0, Math.min(left, STEP_BYTES));
                if (count == 0) return;
                received += count;
                left -= count;
                Thread.sleep(STEP_MS * count / STEP_BYTES);
            }
        }

        boolean isWhole() {
            return looksComplete && received == size;
        }

        @Override
        public String toString() {
            return id + ": " +
                (head == null ? "no head" : head.first + ", proof " + head.field("Server-Stamp")) + ", " + received +
                " of " + size + " bytes, " + end + ", after " + tookMs + " ms";
        }
    }
}
