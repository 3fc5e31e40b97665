import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of the system; each request has a new connection. */
final class Client {
    private final int port;

    Client(int port) {
        this.port = port;
    }

    /** How a request ended: [status] is 0 without an answer. */
    record Result(int status, boolean complete, long millis, String body, String stamp) {
        boolean isServed() {
            return status == 200 && complete && stamp != null;
        }
    }

    /** Sends a request and waits for its answer for [timeoutMillis]. */
    Result send(String method, String path, String id, String extraHeaders, byte[] body, int timeoutMillis) {
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request(method, path, id, extraHeaders, body));
            Http.Message answer = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) return new Result(0, false, millis(start), "", null);
            String stamp = answer.headers.get("Server-Stamp");
            return new Result(answer.status(), answer.complete, millis(start), answer.text(), stamp);
        } catch (IOException e) {
            return new Result(0, false, millis(start), e.getMessage(), null);
        }
    }

    static byte[] request(String method, String path, String id, String extraHeaders, byte[] body) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nRequest-Id: " + id
            + "\r\nAuthorization: Token " + Deployment.KEY + "\r\n" + extraHeaders
            + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] bytes = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, bytes, 0, headBytes.length);
        System.arraycopy(body, 0, bytes, headBytes.length, body.length);
        return bytes;
    }

    private static long millis(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }
}
