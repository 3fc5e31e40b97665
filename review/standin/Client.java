import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client's connection to a node. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;

    /** [receiveBuffer] in bytes, 0 for the system's own; [timeoutMillis] is how long a read waits. */
    Client(int port, int receiveBuffer, int timeoutMillis) throws Exception {
        if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream(), 8 * 1024);
    }

    void send(String head, byte[] body) throws Exception {
        Http.write(socket.getOutputStream(), head, body);
    }

    /** Sends a request of the deployment's clients. */
    void request(String method, String path, String id, String key, int deadlineMillis, byte[] body) throws Exception {
        String length = body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
        send(method + " " + path + " HTTP/1.1\r\nHost: " + Case.HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
            + deadlineMillis + "\r\nAuthorization: Token " + key + "\r\n" + length + "\r\n", body);
    }

    Http.Message receive() throws Exception {
        Http.Message response = Http.readHead(in);
        if (response == null) throw new java.io.EOFException("connection closed without an answer");
        Http.readBody(in, response, true);
        return response;
    }

    @Override
    public void close() throws Exception {
        socket.close();
    }
}
