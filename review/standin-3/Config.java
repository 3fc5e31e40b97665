import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator's config and the servers' entries of a small deployment. */
final class Config {
    static final String HOST = "ficu95.example";
    static final String KEY = "3fexd9dnn2ctnfzs989a";
    static final String WORKSPACE = "hule930";

    private Config() {}

    /** A config with [routes] to services that are named in [services]. */
    static Map<String, Object> of(List<Object> routes, Object... services) {
        return Json.map("version", 7L, "routes", routes, "services", List.of(services), "limits",
            Json.map("max_header_bytes", 16384L, "max_body_bytes", 4194304L, "header_timeout_ms", 3000L,
                "idle_timeout_ms", 15000L), "tenants",
            List.of(Json.map("name", WORKSPACE, "api_keys", List.of(KEY), "priority", 1L)));
    }

    static Map<String, Object> service(String name, long maxConnections) {
        return Json.map("name", name, "health_path", "/health", "max_connections", maxConnections, "protocol", "h1",
            "tls", false);
    }

    static Map<String, Object> route(String name, String prefix, String kind, String service, long timeoutMs,
        long attempts, boolean resumable) {
        return Json.map("name", name, "host", HOST, "prefix", prefix, "kind", kind, "timeout_ms", timeoutMs,
            "target_latency_ms", 300L, "priority", 1L, "service", service, "max_attempts", attempts, "auth_exempt",
            false, "sticky", false, "resumable", resumable, "gap_target_ms", 250L);
    }

    static Map<String, Object> entry(String service, int port, long slots) {
        return Json.map("service", service, "address", "127.0.0.1:" + port, "zone", "puget-a", "version", "v1", "slots",
            slots, "state", "ready", "cold_remaining_ms", 0L, "sequence", 4L, "born", 1_700_000_000_000L + port);
    }

    /** Head of a client's request, with its empty line. */
    static String request(String method, String path, String id, int bodyBytes, long deadlineMs) {
        String length = method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n";
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " +
            deadlineMs + "\r\nAuthorization: Token " + KEY + "\r\n" + length + "\r\n";
    }

    static List<Object> list(Object... elements) {
        return new ArrayList<>(List.of(elements));
    }
}
