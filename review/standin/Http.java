import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over plain sockets: enough for stand-ins of clients, backend servers and the platform. */
final class Http {
    private Http() {}

    /** A request or a response: the first line's three words, headers and body. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String word(int index) {
            String[] words = first.split(" ", 3);
            return index < words.length ? words[index] : "";
        }

        String path() {
            return word(1);
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    /** Handles one request on a connection; false closes the connection after it. */
    interface Handler {
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** Listens on a free loopback port with a thread for each connection. */
    static ServerSocket listen(String name, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
        daemon(name, () -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(name + "-connection", () -> serve(socket, handler));
            }
        });
        return server;
    }

    private static void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            while (true) {
                Message request = readHead(in);
                if (request == null) return;
                readBody(in, request, false);
                if (!handler.handle(request, socket.getOutputStream(), socket)) return;
            }
        } catch (IOException e) {
            // The other end closed the connection.
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // A closed socket ends its thread.
            } catch (Exception e) {
                System.err.println(name + ": " + e);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads the first line and the headers; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Message message = new Message();
        message.first = first;
        while (true) {
            String line = line(in);
            if (line == null) throw new EOFException("connection closed within the headers");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads the body by its length or its chunks, or to the end of the connection if [untilClose]. */
    static void readBody(InputStream in, Message message, boolean untilClose) throws IOException {
        String length = message.header("Content-Length");
        String coding = message.header("Transfer-Encoding");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("connection closed within the body");
                int count = Integer.parseInt(size.trim(), 16);
                if (count > 0) body.write(exactly(in, count));
                line(in);
                if (count == 0) break;
            }
        } else if (length != null) {
            body.write(exactly(in, Integer.parseInt(length)));
        } else if (untilClose) {
            in.transferTo(body);
        }
        message.body = body.toByteArray();
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("connection closed within the body");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (out.length() == 0) return null;
                throw new EOFException("connection closed within a line");
            }
            if (c == '\n') break;
            if (c != '\r') out.append((char) c);
        }
        return out.toString();
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        write(out, "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n", body);
    }
}
