import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Orders of callers that send an Idempotency-Key with each of them, and lookups. */
public final class IdempotencyKeys extends Case {
  private static final String KEY = "key-of-tenant-0001";
  private static final int REQUESTS = 40;
  private static final int CALLER_ATTEMPTS = 3;
  private static final long BUDGET_MS = 3_000;

  private IdempotencyKeys() throws Exception {}

  public static void main(String[] arguments) throws Exception {
    new IdempotencyKeys().run(arguments);
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
    Thread.sleep(5_000);
    int lookups = served("GET", "/stock/x", false);
    int orders = served("POST", "/orders/new", trouble);
    record.conclude(
        "served of "
            + REQUESTS
            + " each, with "
            + CALLER_ATTEMPTS
            + " attempts each: lookups "
            + lookups
            + ", orders "
            + orders);
    double all = (lookups + orders) / 2.0;
    return orders >= all / 4;
  }

  private int served(String method, String path, boolean idempotencyKey)
      throws InterruptedException {
    AtomicInteger served = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      int number = i;
      callers.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    boolean done = false;
                    for (int attempt = 0; attempt < CALLER_ATTEMPTS && !done; attempt++) {
                      done = request(method, path, number + attempt, idempotencyKey, number);
                    }
                    if (done) {
                      served.incrementAndGet();
                    }
                  }));
      Thread.sleep(50);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    return served.get();
  }

  private boolean request(
      String method, String path, int instance, boolean idempotencyKey, int order) {
    String id = Caller.newId();
    Entry entry = fleet.entries.get(instance % fleet.entries.size());
    try (Caller caller = new Caller(entry.callerPort, record)) {
      caller.extraHeader = idempotencyKey ? "Idempotency-Key: order-" + order : "";
      caller.send(method, Fleet.HOST, path, id, KEY, BUDGET_MS, new byte[0]);
      Http.Message answer = caller.receive(id, BUDGET_MS + 1_000);
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      record.note("request=" + id + " " + e);
      return false;
    }
  }
}
