import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reading of HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {
    }

    /** First line, headers (names in any case) and body of a message. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        /** False when the connection ended within the message. */
        boolean complete;

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** The next request; null at the end of the connection. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        readBody(in, message, false);
        return message;
    }

    /** The response to a request; null when the connection ended before it. */
    static Message readResponse(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        try {
            readBody(in, message, true);
        } catch (IOException e) {
            message.complete = false;
        }
        return message;
    }

    private static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) return null;
        Message message = new Message();
        message.firstLine = line;
        while (true) {
            line = readLine(in);
            if (line == null) return null;
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    private static void readBody(InputStream in, Message message, boolean isResponse) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String length = message.headers.get("Content-Length");
            if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
                message.complete = readChunks(in, body);
            } else if (length != null) {
                message.complete = copy(in, body, Integer.parseInt(length));
            } else if (isResponse) {
                in.transferTo(body);
                message.complete = true;
            } else {
                message.complete = true;
            }
        } finally {
            message.body = body.toByteArray();
        }
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String line = readLine(in);
            if (line == null) return false;
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (!copy(in, body, size)) return false;
            if (readLine(in) == null) return false;
            if (size == 0) return true;
        }
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream body, int length) throws IOException {
        byte[] buffer = new byte[8192];
        int left = length;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) return false;
            body.write(buffer, 0, read);
            left -= read;
        }
        return true;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) return null;
            if (c == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(c);
        }
    }
}
