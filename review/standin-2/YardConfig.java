/** A configuration with one plain service and its routes, as of a small deployment. */
final class YardConfig {
    private static final String TEXT = """
        {"version":7,"routes":[
        {"name":"book","host":"%1$s","prefix":"/book/","kind":"non_idempotent","timeout_ms":1500,
        "target_latency_ms":300,"priority":2,"service":"yard","max_attempts":1,"auth_exempt":false},
        {"name":"look","host":"%1$s","prefix":"/look/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,
        "priority":2,"service":"yard","max_attempts":2,"auth_exempt":false}],
        "services":[{"name":"yard","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"hule930","api_keys":["%2$s"],"priority":1}]}""";

    private YardConfig() {
    }

    static void put(Store store) {
        store.put("op", "config", TEXT.formatted(Deployment.HOST, Deployment.KEY));
    }
}
