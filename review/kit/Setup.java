import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The configuration of the cases, and the wait until the deployment serves. */
final class Setup {
    private Setup() {}

    /** A configuration with the fields and values of the sheet of resorte-vivo. */
    static String config(int version) {
        return config(version, "");
    }

    static String config(int version, String moreRoutes) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("smith", "/smiths/", "streaming", 3000, 2, "modelos", true, false) + ","
                + route("lots", "/lots/", "streaming", 3000, 2, "modelos", false, true) + ","
                + route("alert", "/alerts/", "idempotent", 1000, 2, "despacho", false, false) + ","
                + route("confirm", "/confirms/", "non_idempotent", 1500, 1, "despacho", false, false) + moreRoutes
                + "],\"services\":[{\"name\":\"modelos\",\"health_path\":\"/health\",\"max_connections\":170,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,\"kv_capacity\":444000,"
                + "\"kv_token_bytes\":131072,\"link_mbps\":2200000.0,\"moves\":true,\"backups\":true,\"stride\":35,"
                + "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"despacho\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\","
                + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
                + "\"api_keys\":[\"key-1\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}]}";
    }

    static String route(
            String name,
            String prefix,
            String type,
            int timeoutMillis,
            int attempts,
            String service,
            boolean retain,
            boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"path_prefix\":\"" + prefix
                + "\",\"route_type\":\"" + type + "\",\"timeout_ms\":" + timeoutMillis
                + ",\"target_latency_ms\":200,\"priority\":0,\"service\":\"" + service + "\",\"max_attempts\":"
                + attempts + ",\"retain\":" + retain + ",\"retention_s\":60.0,\"public\":false,\"sticky\":"
                + service.equals("modelos") + ",\"resumable\":" + resumable + ",\"gap_target_ms\":250}";
    }

    /** Waits until a configuration is acknowledged, all entries are ready and a request of each service is served. */
    static boolean ready(Record record, Fleet fleet, String config, List<Engine> engines) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        boolean acknowledged = false;
        while (System.nanoTime() < end) {
            try {
                if (!acknowledged) {
                    Http.Message answer = put(fleet, 0, config);
                    acknowledged = answer != null && answer.status() == 200;
                    if (acknowledged) {
                        record.line("the first configuration is acknowledged");
                        engines.forEach(engine -> engine.beat(fleet));
                    }
                }
                boolean ready = acknowledged;
                for (int i = 0; ready && i < fleet.role("entry").size(); i++) {
                    Http.Message answer = Http.call(fleet.ready(i), "GET", "/-/ready", List.of(), new byte[0], 1_000);
                    ready = answer != null && answer.status() == 200;
                }
                if (ready) {
                    // The stores found their group and the engines report themselves meanwhile.
                    Thread.sleep(4_000);
                    record.line("ready");
                    return true;
                }
            } catch (java.io.IOException e) {
                // Not up yet.
            }
            Thread.sleep(200);
        }
        record.line("the deployment did not become ready");
        return false;
    }

    static Http.Message put(Fleet fleet, int hub, String config) throws java.io.IOException {
        return Http.call(
                fleet.control(hub),
                "PUT",
                "/-/config",
                List.of("Content-Type: application/json"),
                config.getBytes(StandardCharsets.UTF_8),
                2_000);
    }
}
