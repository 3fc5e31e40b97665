import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform: its store, as PROTOCOL.md describes it, and the calls of the duties, always accepted. */
final class Platform {
    private record Key(String table, String part, String key) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int order = table.compareTo(other.table);
            if (order == 0) order = part.compareTo(other.part);
            return order == 0 ? key.compareTo(other.key) : order;
        }
    }

    private record Row(String value, long version) {}

    private record Change(long version, Key key, String value) {}

    private final TreeMap<Key, Row> rows = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private final Log log;
    private final ServerSocket listener;
    private long version = 1;
    /** The number that rises with each restore; the pages leave open where it starts. */
    private long era;
    private volatile boolean isAway;
    private final java.util.ArrayDeque<Copy> copies = new java.util.ArrayDeque<>();
    private final List<Report> reports = new ArrayList<>();

    /** The content at [atNanos]. */
    private record Copy(long atNanos, TreeMap<Key, Row> rows, long version) {}

    /** A call of a duty. */
    record Report(long atMs, String path, String holder, long token, String body) {}

    Platform(Log log) throws IOException {
        this(log, 1);
    }

    Platform(Log log, long firstEra) throws IOException {
        this.log = log;
        era = firstEra;
        Http.thread(() -> {
            while (true) {
                copy();
                Thread.sleep(100);
            }
        });
        listener = Http.listen(this::handle);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes a row as the operator or a server does; null removes it. */
    synchronized void put(String table, String key, Object value) {
        version++;
        String encoded = value == null
            ? null
            : Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
        apply(new Key(table, "", key), encoded);
        notifyAll();
    }

    private synchronized void copy() {
        copies.addLast(new Copy(System.nanoTime(), new TreeMap<>(rows), version));
        if (copies.size() > 200) copies.removeFirst();
    }

    /** The store is away for [awayMs] and comes back from a copy that is [ageMs] old, without what was written since. */
    void restore(long ageMs, long awayMs) throws InterruptedException {
        synchronized (this) {
            isAway = true;
            notifyAll();
        }
        Thread.sleep(awayMs);
        synchronized (this) {
            long wanted = System.nanoTime() - (ageMs + awayMs) * 1_000_000L;
            Copy copy = copies.getFirst();
            for (Copy each : copies) if (each.atNanos <= wanted) copy = each;
            TreeMap<Key, Row> lost = new TreeMap<>(rows);
            rows.clear();
            rows.putAll(copy.rows);
            version = copy.version;
            changes.removeIf(change -> change.version > version);
            copies.clear();
            era++;
            log.line("store restored from a copy " + ageMs + " ms old, era " + era);
            // What the operator and the servers wrote is written again.
            for (Map.Entry<Key, Row> entry : lost.entrySet()) {
                String table = entry.getKey().table;
                if (!table.equals("op") && !table.equals("servers")) continue;
                version++;
                apply(entry.getKey(), entry.getValue().value);
            }
            isAway = false;
            notifyAll();
        }
        copy();
    }

    List<Report> reports() {
        synchronized (reports) {
            return new ArrayList<>(reports);
        }
    }

    private void apply(Key key, String value) {
        if (value == null) rows.remove(key);
        else rows.put(key, new Row(value, version));
        changes.add(new Change(version, key, value));
    }

    private void handle(Socket socket, InputStream in, OutputStream out) throws Exception {
        while (true) {
            Http.Message request = Http.readRequest(in);
            if (request == null) return;
            String path = request.target().split("\\?")[0];
            if (isAway && path.startsWith("/api/")) return;
            switch (path) {
                case "/api/rows-tx" -> transaction(request, out);
                case "/api/rows-get" -> get(request, out);
                case "/api/rows-feed" -> feed(request, out);
                case "/usage", "/scale" -> {
                    String text = new String(request.body, StandardCharsets.UTF_8);
                    log.line("platform gets " + path + " " + request.field("Duty-Holder") + " " +
                        request.field("Fencing-Token") + " " + text);
                    synchronized (reports) {
                        reports.add(new Report((System.nanoTime() - startedAt) / 1_000_000L, path,
                            request.field("Duty-Holder"), Long.parseLong(request.field("Fencing-Token")), text));
                    }
                    respond(out, 200, Json.map());
                }
                default -> respond(out, 404, Json.map());
            }
        }
    }

    @SuppressWarnings("unchecked")
    private void transaction(Http.Message request, OutputStream out) throws IOException {
        Map<String, Object> body = Json.object(new String(request.body, StandardCharsets.UTF_8));
        Map<String, Object> response = Json.map();
        boolean isConflict = false;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            for (Object each : (List<Object>) body.get("expected")) {
                Map<String, Object> expected = (Map<String, Object>) each;
                Key key = key(expected);
                Row row = rows.get(key);
                long present = row == null ? 0 : row.version;
                if (present != (Long) expected.get("schema_version")) isConflict = true;
                if (row != null) current.add(wire(key, row));
            }
            if (isConflict) {
                response.put("rows", current);
            } else {
                version++;
                for (Object each : (List<Object>) body.get("set_keys")) {
                    Map<String, Object> set = (Map<String, Object>) each;
                    apply(key(set), (String) set.get("value"));
                }
                for (Object each : (List<Object>) body.get("delete")) apply(key((Map<String, Object>) each), null);
                notifyAll();
            }
            complete(response);
        }
        respond(out, isConflict ? 412 : 200, response);
    }

    private void get(Http.Message request, OutputStream out) throws IOException {
        String table = request.query("table");
        String part = request.query("part") == null ? "" : request.query("part");
        String from = request.query("from") == null ? "" : request.query("from");
        String to = request.query("to");
        int limit = request.query("limit") == null ? 500 : Math.min(500, Integer.parseInt(request.query("limit")));
        Map<String, Object> response = Json.map();
        synchronized (this) {
            List<Object> found = new ArrayList<>();
            boolean more = false;
            for (Map.Entry<Key, Row> entry : rows.entrySet()) {
                Key key = entry.getKey();
                boolean isWanted = key.table.equals(table) && key.part.equals(part) && key.key.compareTo(from) >= 0 &&
                    (to == null || key.key.compareTo(to) < 0);
                if (!isWanted) continue;
                if (found.size() == limit) {
                    more = true;
                    break;
                }
                found.add(wire(key, entry.getValue()));
            }
            response.put("rows", found);
            response.put("more_pages", more);
            complete(response);
        }
        respond(out, 200, response);
    }

    private void feed(Http.Message request, OutputStream out) throws Exception {
        String table = request.query("table");
        long after = Long.parseLong(request.query("after"));
        long deadline = System.nanoTime() + Long.parseLong(request.query("wait_ms")) * 1_000_000L;
        Map<String, Object> response = Json.map();
        synchronized (this) {
            List<Object> found = changed(table, after);
            while (found.isEmpty() && !isAway) {
                long left = (deadline - System.nanoTime()) / 1_000_000L;
                if (left <= 0) break;
                wait(left);
                found = changed(table, after);
            }
            response.put("rows", found);
            complete(response);
        }
        respond(out, 200, response);
    }

    private List<Object> changed(String table, long after) {
        List<Object> found = new ArrayList<>();
        for (Change change : changes) {
            if (change.version <= after || !change.key.table.equals(table)) continue;
            if (change.value != null) {
                found.add(wire(change.key, new Row(change.value, change.version)));
            } else {
                Map<String, Object> removed = Json.map("table", change.key.table, "part", change.key.part, "key",
                    change.key.key, "removed", true, "schema_version", change.version);
                found.add(removed);
            }
        }
        return found;
    }

    private Key key(Map<String, Object> from) {
        Object part = from.get("part");
        return new Key((String) from.get("table"), part == null ? "" : (String) part, (String) from.get("key"));
    }

    private Map<String, Object> wire(Key key, Row row) {
        return Json.map("table", key.table, "part", key.part, "key", key.key, "value", row.value, "schema_version",
            row.version);
    }

    private void complete(Map<String, Object> response) {
        response.put("schema_version", version);
        response.put("now_ms", (System.nanoTime() - startedAt) / 1_000_000L);
    }

    private void respond(OutputStream out, int status, Map<String, Object> body) throws IOException {
        Http.respond(out, status, "Content-Type: application/json\r\nStore-Era: " + era + "\r\n", Json.write(body).getBytes(StandardCharsets.UTF_8));
    }
}
