import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Nobody reads the standard output of an instance, which serves requests and is then stopped. */
public final class BlockedOutput extends Case {
  private static final String KEY = "key-of-tenant-0001";
  private static final int REQUESTS = 1_500;
  private static final long BUDGET_MS = 2_000;
  private static final long GRACE_MS = 6_000;
  private static final long LIMIT_MS = 3 * GRACE_MS;

  private BlockedOutput() throws Exception {}

  public static void main(String[] arguments) throws Exception {
    new BlockedOutput().run(arguments);
  }

  @Override
  boolean play() throws Exception {
    fleet.service("orders");
    fleet.route("r-orders", "/orders/", "unsafe", "orders", 4_000);
    fleet.tenant("tenant-1", KEY, 0, 0);
    fleet.publish();
    for (int i = 0; i < 3; i++) {
      Backend backend = new Backend(fleet.store, "server-" + i, "orders", "zone-" + i, record);
      backend.workMs = 1;
      fleet.backends.add(backend);
    }
    fleet.readsOutput = !trouble;
    fleet.startEntries(1);
    Entry entry = fleet.entries.getFirst();
    int served = 0;
    try (Caller caller = new Caller(entry.callerPort, record)) {
      for (int i = 0; i < REQUESTS; i++) {
        String id = Caller.newId();
        caller.send("POST", Fleet.HOST, "/orders/new", id, KEY, BUDGET_MS, new byte[10]);
        Http.Message answer = caller.receive(id, BUDGET_MS + 1_000);
        if (answer == null) {
          throw new IOException("no answer before the stop");
        }
        served += answer.status() == 200 ? 1 : 0;
      }
    }
    long start = System.nanoTime();
    entry.signal("TERM");
    boolean ended = entry.awaitEnd(LIMIT_MS);
    record.conclude(
        "served "
            + served
            + " of "
            + REQUESTS
            + "; the process "
            + (ended ? "ended " : "was still there ")
            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)
            + " ms after SIGTERM, grace "
            + GRACE_MS
            + " ms");
    return ended;
  }
}
