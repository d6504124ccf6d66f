package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Writes a configuration as the operator does. */
final class Configuration {
  private final int version;
  private final List<String> resources = new ArrayList<>();

  Configuration(int version) {
    this.version = version;
    resources.add(Wire.resource("limits"));
  }

  Configuration service(String name) {
    resources.add(Wire.resource("service", name));
    return this;
  }

  Configuration route(String prefix, String kind, String service, int timeoutMs, int maxAttempts) {
    String name = "r" + prefix.replace('/', '-');
    resources.add(Wire.resource("route", name, prefix, kind, timeoutMs, service, maxAttempts));
    return this;
  }

  Configuration tenant(String name, String... keys) {
    String quoted = keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"";
    resources.add(Wire.resource("tenant", name, quoted));
    return this;
  }

  void publish(StoreStandin store) {
    String document =
        String.format("{\"version\":\"%08x\",\"resources\":[", version)
            + String.join(",", resources)
            + "]}";
    store.put(Wire.CONFIGURATION_TOPIC, "config", document.getBytes(StandardCharsets.UTF_8));
  }
}
