import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** Stand-in for a backend server of a plain service; announces itself in the store and sends heartbeats. */
final class BackendServer {
    private static final long HEARTBEAT_MILLIS = 1200;

    final String id;
    final ServerSocket socket;
    private final Case owner;
    private long sequence;
    volatile boolean silent;
    volatile String state = "ready";
    volatile long born;

    BackendServer(Case owner, String id, long born, Http.Handler handler) throws Exception {
        this.owner = owner;
        this.id = id;
        this.born = born;
        socket = Http.listen(id, handler);
        announce();
        Http.daemon(id + "-heartbeat", () -> {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                if (!silent) announce();
            }
        });
    }

    synchronized void announce() {
        owner.announce(id, socket.getLocalPort(), state, born, sequence++);
    }

    /** Headers of an answer by this server to [request]. */
    static String proof(Http.Message request) {
        return "Request-Id: " + request.header("Request-Id") + "\r\nServer-Stamp: " + stamp(request) + "\r\n";
    }

    static String stamp(Http.Message request) {
        return "3e1b." + Integer.toHexString(String.valueOf(request.header("Request-Id")).hashCode());
    }

    /** True if the request was meant for another server, and has been refused for that. */
    boolean misdirected(Http.Message request, OutputStream out) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected == null || expected.equals(id)) return false;
        Http.respond(out, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
        return true;
    }
}
