import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Callers of a busy service use a connection for one request, and say so. Some of them leave before
 * they have an answer.
 */
public final class LeavingCallers extends Case {
  private static final String KEY = "key-of-tenant-0001";
  private static final long WORK_MS = 760;
  private static final int REQUESTS_PER_SECOND = 15;
  private static final int SECONDS = 12;
  private static final double LEAVING_SHARE = 0.3;
  private static final int MAX_PATIENCE_MS = 1_500;
  private static final long BUDGET_MS = 8_000;
  private static final int A_FEW = 5;

  private final Map<String, Long> leftAt = new ConcurrentHashMap<>();
  private final Map<String, Long> reachedAt = new ConcurrentHashMap<>();

  private LeavingCallers() throws Exception {}

  public static void main(String[] arguments) throws Exception {
    new LeavingCallers().run(arguments);
  }

  @Override
  boolean play() throws Exception {
    fleet.service("orders");
    fleet.route("r-orders", "/orders/", "unsafe", "orders", BUDGET_MS);
    fleet.tenant("tenant-1", KEY, 0, 0);
    fleet.publish();
    for (int i = 0; i < 2; i++) {
      Backend backend =
          new Backend(fleet.store, "server-" + i, "orders", "zone-" + i, record) {
            @Override
            void onRun(String attempt) {
              reachedAt.put(attempt, System.nanoTime());
            }
          };
      backend.workMs = WORK_MS;
      fleet.backends.add(backend);
    }
    fleet.startEntries(1);
    int lateWithout = reachedLate(false);
    int lateWith = reachedLate(true);
    record.conclude(
        "ran over 0.5 s after their caller had closed its connection: "
            + lateWith
            + " with Connection: close, "
            + lateWithout
            + " without");
    return lateWith <= A_FEW;
  }

  private int reachedLate(boolean lastRequest) throws InterruptedException {
    leftAt.clear();
    reachedAt.clear();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < REQUESTS_PER_SECOND * SECONDS; i++) {
      boolean leaves = trouble && ThreadLocalRandom.current().nextDouble() < LEAVING_SHARE;
      callers.add(Thread.ofVirtual().start(() -> request(leaves, lastRequest)));
      Thread.sleep(1_000 / REQUESTS_PER_SECOND);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    Thread.sleep(BUDGET_MS);
    long late =
        leftAt.entrySet().stream()
            .filter(left -> reachedAt.containsKey(left.getKey()))
            .filter(left -> reachedAt.get(left.getKey()) - left.getValue() > 500_000_000)
            .count();
    record.conclude(
        (lastRequest ? "with" : "without")
            + " Connection: close: "
            + callers.size()
            + " requests, "
            + leftAt.size()
            + " callers left");
    return (int) late;
  }

  private void request(boolean leaves, boolean lastRequest) {
    String id = Caller.newId();
    try (Caller caller = new Caller(fleet.entries.getFirst().callerPort, record)) {
      caller.lastRequest = lastRequest;
      caller.send("POST", Fleet.HOST, "/orders/new", id, KEY, BUDGET_MS, new byte[200]);
      long patience =
          leaves ? ThreadLocalRandom.current().nextInt(MAX_PATIENCE_MS) : BUDGET_MS + 1_000;
      if (caller.receive(id, Math.max(1, patience)) == null && leaves) {
        caller.leave();
        leftAt.put(id, System.nanoTime());
        record.note("left request=" + id);
      }
    } catch (IOException e) {
      record.note("request=" + id + " " + e);
    }
  }
}
