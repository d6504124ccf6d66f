import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A client whose paths have dot segments. By its prefix, each path belongs to the route of one
 * service; the case checks which service runs the request.
 */
public final class DotSegments extends Case {
  private static final String KEY = "key-of-tenant-0001";
  private static final long BUDGET_MS = 2_000;

  private DotSegments() throws Exception {}

  public static void main(String[] arguments) throws Exception {
    new DotSegments().run(arguments);
  }

  @Override
  boolean play() throws Exception {
    for (String service : new String[] {"stock", "orders"}) {
      fleet.service(service);
      String kind = service.equals("orders") ? "unsafe" : "safe";
      fleet.route("r-" + service, "/" + service + "/", kind, service, 4_000);
      for (int i = 0; i < 2; i++) {
        String id = "server-" + service + "-" + i;
        fleet.backends.add(new Backend(fleet.store, id, service, "zone-" + i, record));
      }
    }
    fleet.tenant("tenant-1", KEY, 0, 0);
    fleet.publish();
    fleet.startEntries(2);
    Map<String, String> allowed = new LinkedHashMap<>();
    if (trouble) {
      allowed.put("/stock/../orders/new", "stock");
      allowed.put("/stock/%2e%2e/orders/new", "stock");
      allowed.put("/orders/../stock/sheet-7", "orders");
      allowed.put("/orders/.%2e/stock/sheet-7", "orders");
    } else {
      allowed.put("/stock/sheet-7", "stock");
      allowed.put("/orders/new", "orders");
    }
    int wrong = 0;
    for (Map.Entry<String, String> request : allowed.entrySet()) {
      for (Entry entry : fleet.entries) {
        String id = Caller.newId();
        int status = request(entry, request.getKey(), id);
        String server = record.lastServer(id);
        boolean isWrong = !server.isEmpty() && !server.contains(request.getValue());
        record.conclude(
            "path "
                + request.getKey()
                + ", allowed service "
                + request.getValue()
                + ": run by "
                + (server.isEmpty() ? "none" : server)
                + ", answer "
                + status);
        wrong += isWrong ? 1 : 0;
      }
    }
    record.conclude("requests that a service ran to which no route leads: " + wrong);
    return wrong == 0;
  }

  private int request(Entry entry, String path, String id) throws IOException {
    try (Caller caller = new Caller(entry.callerPort, record)) {
      caller.send("POST", Fleet.HOST, path, id, KEY, BUDGET_MS, new byte[10]);
      Http.Message answer = caller.receive(id, BUDGET_MS + 1_000);
      return answer == null ? 0 : answer.status();
    }
  }
}
