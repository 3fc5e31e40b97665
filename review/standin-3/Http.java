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
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over blocking sockets, as far as the stand-ins need it. */
final class Http {
    private Http() {}

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** A request or the head of a response; field names have no case. */
    static final class Message {
        String first = "";
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String target() {
            return first.split(" ")[1];
        }

        String method() {
            return first.split(" ")[0];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name);
        }

        /** The value of [name] in the query; null without it. */
        String query(String name) {
            String target = target();
            int mark = target.indexOf('?');
            if (mark < 0) return null;
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals >= 0 && pair.substring(0, equals).equals(name)) {
                    return java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    /** The next head; null at a clean end before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String line = readLine(in);
        if (line == null) return null;
        message.first = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("The head is incomplete.");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        String length = message.field("Content-Length");
        if (length != null) message.body = readFully(in, Integer.parseInt(length));
        return message;
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("The body is incomplete.");
        return bytes;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("A line is incomplete.");
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Writes a response with a length; [fields] are whole lines, each with its line end. */
    static void respond(OutputStream out, int status, String fields, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + " Status\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Handles one connection. */
    interface Handler {
        void handle(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** Listens on a free loopback port and handles each connection in a thread of its own. */
    static ServerSocket listen(Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 512, LOOPBACK);
        thread(() -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                thread(() -> {
                    try (socket) {
                        handler.handle(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                    }
                });
            }
        });
        return listener;
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // A connection that ends is no event for a stand-in.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }
}
