import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform: its store of rows (`rows-get`, `rows-feed`, `rows-tx`) and its calls `/usage` and
 * `/scale`. Answers are linearizable; nothing is lost.
 */
final class Platform {
    private record Row(String table, String part, String key, String value, long version, boolean removed) {}

    private static final long ANSWER_MILLIS = 4;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final long start = System.nanoTime();
    private long version = 100;
    private long historyFrom;
    final ServerSocket socket;

    Platform() throws Exception {
        socket = Http.listen("platform", this::handle);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Writes a row as the operator or a backend server does; returns when the store has acknowledged it. */
    synchronized long put(String table, String key, String json) {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        version++;
        rows.put(id(table, "", key), new Row(table, "", key, value, version, false));
        notifyAll();
        return version;
    }

    synchronized void remove(String table, String key) {
        version++;
        rows.put(id(table, "", key), new Row(table, "", key, "", version, true));
        notifyAll();
    }

    /** Discards the history so far: whoever has not read all changes has to read the rows again. */
    synchronized void forgetHistory() {
        historyFrom = version;
        notifyAll();
    }

    private static String id(String table, String part, String key) {
        return table + "\n" + part + "\n" + key;
    }

    private boolean handle(Http.Message request, OutputStream out, java.net.Socket socket) throws Exception {
        String target = request.path();
        String path = target.split("\\?")[0];
        Map<String, String> query = query(target);
        switch (path) {
            case "/api/rows-get" -> {
                Thread.sleep(ANSWER_MILLIS);
                json(out, 200, get(query));
            }
            case "/api/rows-feed" -> {
                String changes = feed(query);
                json(out, changes == null ? 410 : 200, changes == null ? "{}" : changes);
            }
            case "/api/rows-tx" -> transact(out, Json.object(new String(request.body, StandardCharsets.UTF_8)));
            default -> json(out, 200, "{}");
        }
        return true;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> result = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return result;
        for (String pair : target.substring(mark + 1).split("&")) {
            String[] words = pair.split("=", 2);
            result.put(words[0], words.length < 2 ? "" : URLDecoder.decode(words[1], StandardCharsets.UTF_8));
        }
        return result;
    }

    private synchronized String get(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String to = query.get("to");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
            boolean matches = row.table.equals(query.get("table")) && row.part.equals(query.getOrDefault("part", ""));
            if (!matches || row.removed || row.key.compareTo(from) < 0) continue;
            if (to != null && row.key.compareTo(to) >= 0) continue;
            found.add(row);
        }
        boolean more = found.size() > limit;
        return body(more ? found.subList(0, limit) : found, more);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            if (after < historyFrom) return null;
            List<Row> changed = new ArrayList<>();
            for (Row row : rows.values()) {
                if (row.table.equals(query.get("table")) && row.version > after) changed.add(row);
            }
            changed.sort((a, b) -> Long.compare(a.version, b.version));
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) return body(changed, false);
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private void transact(OutputStream out, Map<String, Object> call) throws Exception {
        Thread.sleep(ANSWER_MILLIS);
        String answer;
        int status = 200;
        synchronized (this) {
            List<Row> current = new ArrayList<>();
            boolean holds = true;
            for (Object each : (List<Object>) call.getOrDefault("expected", List.of())) {
                Map<String, Object> expected = (Map<String, Object>) each;
                Row row = rows.get(rowId(expected));
                boolean present = row != null && !row.removed;
                if (present) current.add(row);
                long wanted = ((Number) expected.get("schema_version")).longValue();
                holds &= (present ? row.version : 0) == wanted;
            }
            if (holds) {
                version++;
                for (Object each : (List<Object>) call.getOrDefault("set_keys", List.of())) {
                    Map<String, Object> put = (Map<String, Object>) each;
                    rows.put(rowId(put), row(put, (String) put.get("value"), false));
                }
                for (Object each : (List<Object>) call.getOrDefault("delete", List.of())) {
                    Map<String, Object> key = (Map<String, Object>) each;
                    rows.put(rowId(key), row(key, "", true));
                }
                notifyAll();
                answer = body(List.of(), false);
            } else {
                status = 412;
                answer = body(current, false);
            }
        }
        json(out, status, answer);
    }

    private Row row(Map<String, Object> key, String value, boolean removed) {
        String part = (String) key.getOrDefault("part", "");
        return new Row((String) key.get("table"), part, (String) key.get("key"), value, version, removed);
    }

    private static String rowId(Map<String, Object> key) {
        return id((String) key.get("table"), (String) key.getOrDefault("part", ""), (String) key.get("key"));
    }

    private String body(List<Row> found, boolean more) {
        StringBuilder out = new StringBuilder("{\"rows\":[");
        for (Row row : found) {
            if (out.charAt(out.length() - 1) == '}') out.append(',');
            out.append("{\"table\":").append(Json.quote(row.table));
            out.append(",\"part\":").append(Json.quote(row.part));
            out.append(",\"key\":").append(Json.quote(row.key));
            if (!row.removed) out.append(",\"value\":").append(Json.quote(row.value));
            out.append(",\"schema_version\":").append(row.version);
            out.append(row.removed ? ",\"removed\":true}" : "}");
        }
        long nowMillis = (System.nanoTime() - start) / 1_000_000 + 1;
        return out + "],\"more_pages\":" + more + ",\"schema_version\":" + version + ",\"now_ms\":" + nowMillis + "}";
    }

    private static void json(OutputStream out, int status, String body) throws Exception {
        Http.respond(out, status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
    }
}
