import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A proxy that stands for the way to a server in another region: [DELAY_MS] each way, and a window that lets a sender have
 * [WINDOW_BYTES] under way for the time of a round trip. Passes on ends and resets with the same delay.
 */
final class DistantLink {
    private static final long DELAY_MS = 8;
    private static final int WINDOW_BYTES = 64 * 1024;
    /** The time in which the far side's reset comes back from its host. */
    private static final long HOST_MS = 1;

    private final int serverPort;
    private final Log log;
    private final ServerSocket listener;

    DistantLink(int serverPort, Log log) throws IOException {
        this.serverPort = serverPort;
        this.log = log;
        listener = Http.listen(this::pass);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** What happens at the near side at a time; null bytes are the end of the far side's output. */
    private record Arrival(long atNanos, byte[] bytes, boolean isReset) {}

    private static long later() {
        return System.nanoTime() + DELAY_MS * 1_000_000L;
    }

    private void pass(Socket near, InputStream fromNear, OutputStream toNear) throws Exception {
        Socket far = new Socket(Http.LOOPBACK, serverPort);
        far.setTcpNoDelay(true);
        BlockingQueue<Arrival> arrivals = new LinkedBlockingQueue<>();
        long endedAt = 0;
        Http.thread(() -> read(far.getInputStream(), arrivals));
        Http.thread(() -> write(fromNear, far, arrivals));
        while (true) {
            Arrival arrival = arrivals.take();
            long wait = arrival.atNanos - System.nanoTime();
            if (wait > 0) Thread.sleep(wait / 1_000_000L, (int) (wait % 1_000_000L));
            if (arrival.isReset) {
                log.line("a reset arrives at the node, " + (System.nanoTime() - endedAt) / 1_000_000L +
                    " ms after the end of the server's output");
                near.setSoLinger(true, 0);
                return;
            }
            if (arrival.bytes == null) {
                endedAt = System.nanoTime();
                near.shutdownOutput();
            } else {
                toNear.write(arrival.bytes);
            }
        }
    }

    private static void read(InputStream fromFar, BlockingQueue<Arrival> arrivals) throws IOException {
        byte[] buffer = new byte[WINDOW_BYTES];
        try {
            for (int count = fromFar.read(buffer); count >= 0; count = fromFar.read(buffer)) {
                arrivals.add(new Arrival(later(), java.util.Arrays.copyOf(buffer, count), false));
            }
            arrivals.add(new Arrival(later(), null, false));
        } catch (IOException e) {
            arrivals.add(new Arrival(later(), null, true));
        }
    }

    /** Each window goes in two parts, since the reset that answers the first shows at the second. */
    private static void write(InputStream fromNear, Socket far, BlockingQueue<Arrival> arrivals) throws Exception {
        byte[] buffer = new byte[WINDOW_BYTES / 2];
        OutputStream toFar = far.getOutputStream();
        Thread.sleep(DELAY_MS);
        while (true) {
            for (int part = 0; part < 2; part++) {
                // What the near side has sent is still on its way if the near side closes meanwhile.
                int count = fromNear.read(buffer);
                if (count < 0) return;
                try {
                    toFar.write(buffer, 0, count);
                } catch (IOException e) {
                    arrivals.add(new Arrival(later(), null, true));
                    return;
                }
                Thread.sleep(HOST_MS);
            }
            Thread.sleep(2 * DELAY_MS - 2 * HOST_MS);
        }
    }
}
