import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform: the metadata store and the calls of singleton duties. */
final class Store {
    record Row(String table, String part, String key, String value, long version) {
    }

    /** A call of a singleton duty, as the platform received it. */
    record DutyCall(long atMillis, String path, String holder, long token, String body) {
    }

    /** Bounds each answer; the feed has no older history than the start. */
    private static final int MAX_ROWS = 500;

    /** Longer than any caller waits. */
    private static final long SILENCE = 60_000;
    private final Listener listener;
    private final Listener otherListener;
    private final long startedAt = System.nanoTime();
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    final List<DutyCall> dutyCalls = new ArrayList<>();
    private long version = 1;

    /** Told of each call before it is handled; false when the call is not to be answered as usual. */
    interface Gate {
        boolean admit(Http.Message call, Listener.Connection connection) throws Exception;
    }

    /** True while calls at the second address get no answer. */
    volatile boolean isSilentAtOther;

    volatile Gate gate = (call, connection) -> true;

    /** The header `Store-Era`; null leaves it out. */
    private Long era;

    /** All rows at one moment. */
    record Copy(TreeMap<String, Row> rows, long version) {
    }

    synchronized void startEra(long first) {
        era = first;
    }

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(rows), version);
    }

    /** Comes back from [copy]. What the operator and the servers wrote since is written again at once. */
    synchronized void restore(Copy copy) {
        List<Row> others = new ArrayList<>();
        rows.values().stream().filter(it -> it.table.equals("op") || it.table.equals("servers")).forEach(others::add);
        rows.clear();
        rows.putAll(copy.rows);
        version = copy.version;
        history.removeIf(it -> it.version > version);
        era++;
        apply(others);
    }

    Store() throws IOException {
        listener = new Listener(this::handle);
        otherListener = new Listener((call, connection) -> {
            if (isSilentAtOther) connection.work(SILENCE);
            else handle(call, connection);
        });
    }

    String address() {
        return listener.address();
    }

    /** A second address, for the machines that the store may turn away. */
    String otherAddress() {
        return otherListener.address();
    }

    /** The operator or a server writes [value], a JSON text. */
    void put(String table, String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        synchronized (this) {
            apply(List.of(new Row(table, "", key, encoded, 0)));
        }
    }

    synchronized void delete(String table, String key) {
        apply(List.of(new Row(table, "", key, null, 0)));
    }

    private synchronized void apply(List<Row> changes) {
        version++;
        for (Row change : changes) {
            Row row = new Row(change.table, change.part, change.key, change.value, version);
            if (row.value == null) rows.remove(id(row.table, row.part, row.key));
            else rows.put(id(row.table, row.part, row.key), row);
            history.add(row);
        }
        notifyAll();
    }

    private static String id(String table, String part, String key) {
        return table + "\u0000" + part + "\u0000" + key;
    }

    private void handle(Http.Message call, Listener.Connection connection) throws Exception {
        if (!gate.admit(call, connection)) return;
        String path = call.target().split("\\?")[0];
        Thread.sleep(4);
        switch (path) {
            case "/api/rows-get" -> answer(connection, 200, get(query(call)));
            case "/api/rows-feed" -> {
                Map<String, Object> changes = feed(query(call));
                answer(connection, changes.containsKey("rows") ? 200 : 410, changes);
            }
            case "/api/rows-tx" -> transaction(Json.readObject(call.text()), connection);
            case "/usage", "/scale" -> duty(path, call, connection);
            default -> answer(connection, 404, new LinkedHashMap<>());
        }
    }

    private void duty(String path, Http.Message call, Listener.Connection connection) throws IOException {
        synchronized (dutyCalls) {
            dutyCalls.add(new DutyCall(
                System.currentTimeMillis(),
                path,
                call.headers.get("Duty-Holder"),
                Long.parseLong(call.headers.get("Fencing-Token")),
                call.text()));
        }
        answer(connection, 200, new LinkedHashMap<>());
    }

    private void answer(Listener.Connection connection, int status, Map<String, Object> body) throws IOException {
        synchronized (this) {
            body.putIfAbsent("schema_version", version);
        }
        body.put("now_ms", 1_000 + (System.nanoTime() - startedAt) / 1_000_000);
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        String eraHeader = era == null ? "" : "Store-Era: " + era + "\r\n";
        connection.respond(status, eraHeader + "Content-Type: application/json\r\n", bytes);
    }

    private static Map<String, String> query(Http.Message call) {
        Map<String, String> query = new HashMap<>();
        String[] parts = call.target().split("\\?", 2);
        if (parts.length < 2) return query;
        for (String pair : parts[1].split("&")) {
            String[] field = pair.split("=", 2);
            query.put(field[0], field.length < 2 ? "" : URLDecoder.decode(field[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized Map<String, Object> get(Map<String, String> query) {
        int limit = Math.min(Integer.parseInt(query.getOrDefault("limit", "500")), MAX_ROWS);
        String prefix = id(query.get("table"), query.getOrDefault("part", ""), "");
        String from = prefix + query.getOrDefault("from", "");
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Row row : rows.tailMap(from).values()) {
            if (!id(row.table, row.part, "").equals(prefix)) break;
            if (query.containsKey("to") && row.key.compareTo(query.get("to")) >= 0) break;
            if (found.size() == limit) {
                more = true;
                break;
            }
            found.add(json(row));
        }
        return answer(found, more);
    }

    private Map<String, Object> answer(List<Object> found, boolean more) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("rows", found);
        answer.put("more_pages", more);
        answer.put("schema_version", version);
        return answer;
    }

    private synchronized Map<String, Object> feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            if (after > version) return new LinkedHashMap<>();
            List<Object> changed = new ArrayList<>();
            for (Row row : history) {
                if (row.table.equals(query.get("table")) && row.version > after) changed.add(json(row));
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) return answer(changed, false);
            wait(left);
        }
    }

    private static Map<String, Object> json(Row row) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("table", row.table);
        json.put("part", row.part);
        json.put("key", row.key);
        if (row.value == null) json.put("removed", true);
        else json.put("value", row.value);
        json.put("schema_version", row.version);
        return json;
    }

    private void transaction(Map<String, Object> call, Listener.Connection connection) throws IOException {
        List<Object> conflicting = perform(call);
        Map<String, Object> body = new LinkedHashMap<>();
        if (conflicting != null) body.put("rows", conflicting);
        answer(connection, conflicting == null ? 200 : 412, body);
    }

    /** Does what a transaction asks for; null when it was done, else the current rows of its conditions. */
    @SuppressWarnings("unchecked")
    List<Object> perform(Map<String, Object> call) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        synchronized (this) {
            for (Object entry : (List<Object>) call.get("expected")) {
                Map<String, Object> expected = (Map<String, Object>) entry;
                Row row = rows.get(id(text(expected, "table"), text(expected, "part"), text(expected, "key")));
                if ((row == null ? 0 : row.version) != (Long) expected.get("schema_version")) holds = false;
                if (row != null) current.add(json(row));
            }
            if (holds) {
                List<Row> changes = new ArrayList<>();
                ((List<Object>) call.get("set_keys")).forEach(it -> changes.add(row((Map<String, Object>) it)));
                ((List<Object>) call.get("delete")).forEach(it -> changes.add(row((Map<String, Object>) it)));
                apply(changes);
            }
        }
        return holds ? null : current;
    }

    private static Row row(Map<String, Object> entry) {
        return new Row(text(entry, "table"), text(entry, "part"), text(entry, "key"), text(entry, "value"), 0);
    }

    private static String text(Map<String, Object> entry, String name) {
        return (String) entry.get(name);
    }
}
