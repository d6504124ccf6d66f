import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client whose paths begin with two slashes, on a route for all paths, and ordinary callers of
 * the same and of another service.
 */
public final class UnusualPath extends Case {
  private static final String KEY = "key-of-tenant-0001";
  private static final int UNUSUAL_REQUESTS = 24;
  private static final int ORDINARY_REQUESTS = 40;
  private static final long BUDGET_MS = 2_000;

  private UnusualPath() throws Exception {}

  public static void main(String[] arguments) throws Exception {
    new UnusualPath().run(arguments);
  }

  @Override
  boolean play() throws Exception {
    fleet.service("web");
    fleet.service("orders");
    fleet.route("r-web", "/", "safe", "web", 4_000);
    fleet.route("r-orders", "/orders/", "unsafe", "orders", 4_000);
    fleet.tenant("tenant-1", KEY, 0, 0);
    fleet.publish();
    for (int i = 0; i < 4; i++) {
      String service = i < 2 ? "web" : "orders";
      fleet.backends.add(new Backend(fleet.store, "server-" + i, service, "zone-" + i % 3, record));
    }
    fleet.startEntries(2);
    int before = ordinary("GET", "/catalog/x");
    List<Thread> clients = new ArrayList<>();
    for (Entry entry : fleet.entries) {
      for (int i = 0; i < UNUSUAL_REQUESTS; i++) {
        clients.add(Thread.ofVirtual().start(() -> unusual(entry)));
        Thread.sleep(20);
      }
    }
    for (Thread client : clients) {
      client.join();
    }
    record.note("all connections of the unusual client are closed");
    Thread.sleep(3_000);
    int web = ordinary("GET", "/catalog/x");
    int orders = ordinary("POST", "/orders/x");
    record.conclude("served before, of " + ORDINARY_REQUESTS + ": web " + before);
    record.conclude(
        "served 3 s after the last unusual request was answered, of "
            + ORDINARY_REQUESTS
            + " each: web "
            + web
            + ", orders "
            + orders);
    if (before < ORDINARY_REQUESTS) {
      throw new IOException("the fleet did not serve before the unusual requests");
    }
    double all = (web + orders) / 2.0;
    return web >= all / 4;
  }

  private void unusual(Entry entry) {
    String id = Caller.newId();
    try (Caller caller = new Caller(entry.callerPort, record)) {
      String path = trouble ? "//catalog/x" : "/catalog/x";
      caller.send("GET", Fleet.HOST, path, id, KEY, BUDGET_MS, new byte[0]);
      caller.receive(id, BUDGET_MS + 1_000);
    } catch (IOException e) {
      record.note("request=" + id + " " + e);
    }
  }

  /** Sends ordinary requests to both instances, one after the other; returns how many succeeded. */
  private int ordinary(String method, String path) throws InterruptedException {
    AtomicInteger served = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < ORDINARY_REQUESTS; i++) {
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
      Thread.sleep(100);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    return served.get();
  }
}
