import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Accepts HTTP/1.1 connections on a free loopback port and handles their requests, one at a time each. */
class Listener {
    /** Handles one request. */
    interface Handler {
        void handle(Http.Message request, Connection connection) throws Exception;
    }

    private static final Http.Message END = new Http.Message();
    private final ServerSocket socket;
    private final Handler handler;

    Listener(Handler handler) throws IOException {
        this.handler = handler;
        socket = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        thread(this::acceptAll);
    }

    int port() {
        return socket.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (true) {
            try {
                Connection connection = new Connection(socket.accept());
                thread(connection::readAll);
                thread(() -> connection.handleAll(handler));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** A connection; a thread of its own reads requests, so that the end of the connection is noticed at once. */
    static final class Connection {
        private final Socket socket;
        private final BlockingQueue<Http.Message> requests = new LinkedBlockingQueue<>();
        private volatile boolean closed;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
        }

        /** True once the peer has closed or reset the connection. */
        boolean isClosed() {
            return closed;
        }

        /** Waits for [millis]; false as soon as the peer has left. */
        boolean work(long millis) throws InterruptedException {
            long end = System.nanoTime() + millis * 1_000_000;
            while (System.nanoTime() < end && !closed) Thread.sleep(5);
            return !closed;
        }

        void respond(int status, String headers, byte[] body) throws IOException {
            head(status, headers + "Content-Length: " + body.length + "\r\n");
            write(body);
        }

        void head(int status, String headers) throws IOException {
            write(("HTTP/1.1 " + status + " Status\r\n" + headers + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }

        void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        }

        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }

        void close() throws IOException {
            closed = true;
            socket.close();
        }

        void reset() throws IOException {
            closed = true;
            socket.setSoLinger(true, 0);
            socket.close();
        }

        private void readAll() {
            try (BufferedInputStream in = new BufferedInputStream(socket.getInputStream())) {
                Http.Message request = Http.readRequest(in);
                while (request != null && request.complete) {
                    requests.add(request);
                    request = Http.readRequest(in);
                }
            } catch (IOException e) {
                // The connection has ended.
            }
            closed = true;
            requests.add(END);
        }

        private void handleAll(Handler handler) {
            try {
                for (Http.Message request = requests.take(); request != END; request = requests.take()) {
                    handler.handle(request, this);
                }
                close();
            } catch (Exception e) {
                closed = true;
            }
        }
    }
}
