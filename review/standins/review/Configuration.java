package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes a configuration as the operator does. */
final class Configuration {
  private final int version;
  private final List<String> resources = new ArrayList<>();

  Configuration(int version) {
    this.version = version;
    resources.add(
        "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
            + "\"idle_timeout\":\"15000ms\"}}");
  }

  Configuration service(String name) {
    resources.add(
        String.format(
            "{\"resource_type\":\"services\",\"metadata\":{\"name\":\"%s\"},\"spec\":{"
                + "\"health_path\":\"/health\",\"max_conns\":390,\"protocol\":\"h1\","
                + "\"tls\":false}}",
            name));
    return this;
  }

  Configuration route(String prefix, String kind, String service, int timeoutMs, int maxAttempts) {
    resources.add(
        String.format(
            Locale.ROOT,
            "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"r%s\"},\"spec\":{"
                + "\"host\":\"shop.example\",\"path_prefix\":\"%s\",\"kind\":\"%s\","
                + "\"timeout\":\"%dms\",\"target_latency\":\"1500ms\",\"priority\":1,"
                + "\"service\":\"%s\",\"max_attempts\":%d,\"public\":false}}",
            prefix.replace('/', '-'), prefix, kind, timeoutMs, service, maxAttempts));
    return this;
  }

  Configuration tenant(String name, String... keys) {
    resources.add(
        String.format(
            "{\"resource_type\":\"tenants\",\"metadata\":{\"name\":\"%s\"},\"spec\":{"
                + "\"api_keys\":[%s],\"priority\":1,\"rate_per_s\":0,\"burst\":0}}",
            name, keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\""));
    return this;
  }

  void publish(StoreStandin store) {
    String document =
        String.format("{\"version\":\"%08x\",\"resources\":[", version)
            + String.join(",", resources)
            + "]}";
    store.put("keyed.op", "config", document.getBytes(StandardCharsets.UTF_8));
  }
}
