import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** A client asks for the head of a stream's answer and then uses the channel for its next request. */
final class HeadOnStream extends Case {
    private static final int ROUNDS = 5;
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final byte[] EVENT = "id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8);

    HeadOnStream(String folder) throws Exception {
        super(folder);
    }

    @Override
    boolean run() throws Exception {
        config(7, "streaming", "\"resumable\":true,\"gap_target_ms\":250,", TIMEOUT_MILLIS, 2, KEY);
        BackendServer[] server = new BackendServer[1];
        server[0] = new BackendServer(this, "i-1", 1_000, (request, out, socket) -> {
            if (!server[0].misdirected(request, out)) answer(request, out);
            return true;
        });
        Node node = startNode("front-puget-a-1");
        awaitReady(node);
        Thread.sleep(4_000);
        int broken = 0;
        for (int i = 0; i < ROUNDS; i++) if (hasForeignBytes(node, i)) broken++;
        note("on " + broken + " of " + ROUNDS + " channels the client got bytes that are no answer");
        return broken > 0;
    }

    /** A sound server: the answer to HEAD is the head of the answer to GET or POST, without its body. */
    private void answer(Http.Message request, OutputStream out) throws Exception {
        note("server runs " + request.word(0) + " " + request.header("Request-Id"));
        Http.write(out, "HTTP/1.1 200 OK\r\n" + BackendServer.proof(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
        if (request.word(0).equals("HEAD")) return;
        Http.write(out, Integer.toHexString(EVENT.length) + "\r\n", EVENT);
        out.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    }

    private boolean hasForeignBytes(Node node, int round) throws Exception {
        try (Client client = new Client(node.callers(), 0, TIMEOUT_MILLIS)) {
            String method = trouble ? "HEAD" : "GET";
            client.request(method, "/shop/quote", "first-" + round, KEY, TIMEOUT_MILLIS, new byte[0]);
            Http.Message first = Http.readHead(client.in);
            if (!trouble) Http.readBody(client.in, first, true);
            note(method + " first-" + round + ": " + first.first);
            Thread.sleep(200);
            client.request("POST", "/shop/quote", "second-" + round, KEY, TIMEOUT_MILLIS, "{}".getBytes());
            Http.Message second;
            try {
                second = Http.readHead(client.in);
            } catch (RuntimeException e) {
                note("POST second-" + round + ": the client can't read what comes: " + e.getMessage());
                return true;
            }
            note("POST second-" + round + ": first line of the answer '" + (second == null ? null : second.first) + "'");
            return second == null || !second.first.startsWith("HTTP/1.1 ");
        }
    }

    public static void main(String[] arguments) throws Exception {
        new HeadOnStream(arguments[0]).execute();
    }
}
