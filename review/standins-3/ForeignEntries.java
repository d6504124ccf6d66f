import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer registers entries of a service that no configuration names, at the addresses of
 * servers in use.
 */
public final class ForeignEntries extends Case {
  private static final String KEY = "key-of-tenant-0001";
  private static final int REQUESTS = 60;
  private static final long BUDGET_MS = 2_000;

  private ForeignEntries() throws Exception {}

  public static void main(String[] arguments) throws Exception {
    new ForeignEntries().run(arguments);
  }

  @Override
  boolean play() throws Exception {
    fleet.service("orders");
    fleet.service("stock");
    fleet.route("r-orders", "/orders/", "unsafe", "orders", 4_000);
    fleet.route("r-stock", "/stock/", "safe", "stock", 4_000);
    fleet.tenant("tenant-1", KEY, 0, 0);
    fleet.publish();
    for (int i = 0; i < 6; i++) {
      String service = i % 2 == 0 ? "orders" : "stock";
      fleet.backends.add(new Backend(fleet.store, "server-" + i, service, "zone-" + i % 3, record));
    }
    fleet.startEntries(3);
    int before = served("POST", "/orders/new");
    if (before < REQUESTS) {
      throw new IOException("the fleet did not serve before the foreign entries");
    }
    for (Backend backend : fleet.backends) {
      if (trouble && backend.service.equals("orders")) {
        register(backend);
      }
    }
    Thread.sleep(10_000);
    int orders = served("POST", "/orders/new");
    int stock = served("GET", "/stock/x");
    record.conclude(
        "served of "
            + REQUESTS
            + " each: orders before "
            + before
            + ", 10 s after the foreign entries: orders "
            + orders
            + ", stock "
            + stock);
    return orders >= (orders + stock) / 2.0 / 4;
  }

  /** Writes an entry of another service, complete and of the right types, at a server's address. */
  private void register(Backend backend) {
    String id = "foreign-" + backend.id;
    fleet.store.write(
        Wire.SERVERS, id, backend.entry("not-configured", System.currentTimeMillis()));
    record.note("foreign entry " + id + " at the address of " + backend.id);
  }

  private int served(String method, String path) throws InterruptedException {
    AtomicInteger served = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      Entry entry = fleet.entries.get(i % fleet.entries.size());
      callers.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    String id = Caller.newId();
                    try (Caller caller = new Caller(entry.callerPort, record)) {
                      caller.send(method, Fleet.HOST, path, id, KEY, BUDGET_MS, new byte[0]);
                      Http.Message answer = caller.receive(id, BUDGET_MS + 1_000);
                      if (answer != null && answer.status() == 200) {
                        served.incrementAndGet();
                      }
                    } catch (IOException e) {
                      record.note("request=" + id + " " + e);
                    }
                  }));
      Thread.sleep(50);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    return served.get();
  }
}
