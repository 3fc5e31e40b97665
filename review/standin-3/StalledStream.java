import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A model server runs out of memory and preempts streams midway; it reads them in again and goes on. The node sends each
 * of them on to another server. 400 ms later only one of the two may be at work.
 */
final class StalledStream extends Case {
    private static final int CLIENTS = 5;
    private static final int EVENTS = 30;
    private static final long EVENT_MS = 60;
    private static final int STALL_AFTER = 10;
    private static final long STALL_MS = 2_500;
    /** The time in which a server that keeps parts of the prompt reads the rest, and in which one reads it all. */
    private static final long PREFILL_REST_MS = 200;
    private static final long PREFILL_ALL_MS = 700;
    private static final long BOTH_AT_WORK_MS = 400;
    private static final long TIMEOUT_MS = 6_000;

    private Relay relay;
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        new StalledStream().main(arguments[0]);
    }

    /** A server's work on a request, in milliseconds of the case's clock. */
    private static final class Run {
        final String server;
        final long startedAt;
        final boolean goesOn;
        volatile long endedAt = Long.MAX_VALUE;

        Run(String server, long startedAt, boolean goesOn) {
            this.server = server;
            this.startedAt = startedAt;
            this.goesOn = goesOn;
        }
    }

    @Override
    int run() throws Exception {
        for (String name : List.of("i-7f3a91c2", "i-5d6e546e")) {
            ServerSocket server = Http.listen((socket, in, out) -> serve(name, socket, in, out));
            platform.put("servers", name, Config.entry("huvo11a", server.getLocalPort(), 48));
        }
        platform.put("op", "config", Config.of(
            Config.list(Config.route("r-spuxsr7", "/lohu930/", "streaming", "huvo11a", TIMEOUT_MS, 2, true)),
            Config.service("huvo11a", 300)));
        relay = startRelay("front-puget-a-1");
        int whole = 0;
        int broken = 0;
        for (int i = 1; i <= CLIENTS; i++) {
            String id = "request-" + i;
            if (fetch(id)) whole++;
            Thread.sleep(200);
            if (goesOnTwice(id)) broken++;
        }
        log.show(whole + " whole streams; " + broken + " went on at another server while the one before worked on, of " +
            CLIENTS);
        if (!hasTrouble && whole < CLIENTS) throw new IOException("Not all clients were served.");
        return broken > 0 ? BROKEN : HELD;
    }

    @Override
    void stop() throws Exception {
        if (relay != null) relay.kill();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000L;
    }

    private boolean goesOnTwice(String id) {
        List<Run> all = runs.getOrDefault(id, List.of());
        if (all.size() < 2) return false;
        Run before = all.get(0);
        Run next = all.get(1);
        long both = Math.min(before.endedAt, next.endedAt) - next.startedAt;
        log.line(id + ": " + next.server + " went on while " + before.server + " was at work for " + both + " ms more");
        return next.goesOn && both > BOTH_AT_WORK_MS;
    }

    private void serve(String name, Socket socket, InputStream in, OutputStream out) throws Exception {
        while (true) {
            Http.Message request = Http.readRequest(in);
            if (request == null) return;
            work(name, request, socket, in, out);
        }
    }

    /** Works until the answer is whole or the channel closes. */
    private void work(String name, Http.Message request, Socket socket, InputStream in, OutputStream out)
        throws Exception {
        String id = request.field("Request-Id");
        String last = request.field("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        Run run = new Run(name, now(), last != null);
        boolean isFirst;
        synchronized (runs) {
            List<Run> all = runs.computeIfAbsent(id, any -> new ArrayList<>());
            isFirst = all.isEmpty();
            all.add(run);
        }
        log.line(name + " gets " + id + (last == null ? "" : ", to go on after event " + last));
        try {
            pause(last == null ? PREFILL_REST_MS : PREFILL_ALL_MS, socket, in);
            Http.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp-" + name + "-" + id +
                "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = first; event <= EVENTS; event++) {
                String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                Http.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                boolean isPreempted = hasTrouble && isFirst && event == STALL_AFTER;
                pause(isPreempted ? STALL_MS : EVENT_MS, socket, in);
            }
            Http.write(out, "0\r\n\r\n");
            log.line(name + " has answered " + id);
        } catch (IOException e) {
            log.line(name + " drops " + id + ": its channel has closed");
            throw e;
        } finally {
            run.endedAt = now();
        }
    }

    /** Waits, and throws as soon as the channel closes. Nothing else comes on it before the answer is whole. */
    private static void pause(long millis, Socket socket, InputStream in) throws IOException {
        socket.setSoTimeout((int) millis);
        try {
            if (in.read() < 0) throw new IOException("closed");
            throw new IOException("unexpected data");
        } catch (java.net.SocketTimeoutException e) {
            socket.setSoTimeout(0);
        }
    }

    /** True if the client gets the whole stream, each piece once. */
    private boolean fetch(String id) throws IOException {
        try (Socket socket = new Socket(Http.LOOPBACK, relay.callerPort)) {
            socket.setSoTimeout((int) TIMEOUT_MS + 1_000);
            Http.write(socket.getOutputStream(), Config.request("POST", "/lohu930/2f", id, 0, TIMEOUT_MS));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message head = Http.readHead(in);
            if (head == null || head.status() != 200) {
                log.line(id + " gets " + (head == null ? "nothing" : head.first));
                return false;
            }
            StringBuilder body = new StringBuilder();
            while (true) {
                int size = Integer.parseInt(String.valueOf(Http.readLine(in)).trim(), 16);
                body.append(new String(Http.readFully(in, size)));
                Http.readLine(in);
                if (size == 0) break;
            }
            int events = body.toString().split("\n\n", -1).length - 1;
            log.line(id + " gets " + head.first + " with " + events + " of " + EVENTS + " events");
            return events == EVENTS;
        }
    }
}
