package review2;

/** The configuration of a small deployment: one safe route, one unsafe route, one tenant. */
final class Operator {
  private Operator() {}

  static void publish(Store store, String version) {
    publish(store, version, "/read/");
  }

  static void publish(Store store, String version, String readPrefix) {
    store.write(
        "keyed.op",
        "config",
        ("{\"version\":\"%s\",\"resources\":["
                + "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"r-read\"},\"spec\":{"
                + "\"host\":\"shop.example\",\"path_prefix\":\"%s\",\"kind\":\"safe\","
                + "\"timeout\":\"20000ms\",\"target_latency\":\"1200ms\",\"priority\":1,"
                + "\"service\":\"records\",\"max_attempts\":2,\"public\":false}},"
                + "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"r-order\"},\"spec\":{"
                + "\"host\":\"shop.example\",\"path_prefix\":\"/order/\",\"kind\":\"unsafe\","
                + "\"timeout\":\"20000ms\",\"target_latency\":\"1200ms\",\"priority\":1,"
                + "\"service\":\"orders\",\"max_attempts\":2,\"public\":false}},"
                + "{\"resource_type\":\"services\",\"metadata\":{\"name\":\"records\"},\"spec\":{"
                + "\"health_path\":\"/health\",\"max_conns\":390,\"protocol\":\"h1\",\"tls\":false}},"
                + "{\"resource_type\":\"services\",\"metadata\":{\"name\":\"orders\"},\"spec\":{"
                + "\"health_path\":\"/health\",\"max_conns\":390,\"protocol\":\"h1\",\"tls\":false}},"
                + "{\"resource_type\":\"tenants\",\"metadata\":{\"name\":\"tenant-a\"},\"spec\":{"
                + "\"api_keys\":[\"key-of-tenant-a\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}},"
                + "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
                + "\"idle_timeout\":\"15000ms\"}}]}")
            .formatted(version, readPrefix));
  }
}
