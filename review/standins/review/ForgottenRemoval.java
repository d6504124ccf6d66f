package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A backend leaves: its entry is removed, and right afterwards the store deletes the history of the
 * entries. Exits with 1 if the backend gets requests that consumers sent later than {@code drain}
 * after the removal was acknowledged.
 */
final class ForgottenRemoval {
  private static final int INSTANCES = 3;
  private static final int BACKENDS = 6;
  private static final int WORK_MS = 900;
  private static final int QUEUE_LENGTH = 16;
  private static final int ORDERS = 24;
  private static final long SETTLE_MS = 8_000;
  // Longer than drain (2 s) and contact (3 s).
  private static final long QUIET_MS = 3_500;
  private static final long EXIT_DELAY_MS = 500;

  public static void main(String[] arguments) throws Exception {
    System.exit(Harness.run(ForgottenRemoval::play));
  }

  private static boolean play(Harness.Scene scene) throws Exception {
    Report report = scene.report();
    StoreStandin store = scene.store();
    new Configuration(1)
        .service("orders")
        .route("/orders/", "unsafe", "orders", 4_000, 2)
        .tenant("shop", "key-of-shop")
        .publish(store);
    List<BackendStandin> backends = new ArrayList<>();
    for (int i = 0; i < BACKENDS; i++) {
      backends.add(
          scene.closeLater(
              new BackendStandin(
                  "i-" + i,
                  "orders",
                  "zone-" + (char) ('a' + i % 3),
                  WORK_MS,
                  QUEUE_LENGTH,
                  store,
                  report)));
    }
    scene.fleet().start(INSTANCES, store);
    Thread.sleep(SETTLE_MS);
    order(scene, ORDERS);

    BackendStandin leaving = backends.getFirst();
    Map<String, ?> runsBefore = Map.copyOf(leaving.runs());
    leaving.removeEntry();
    if (scene.trouble()) {
      store.compact(Wire.BACKENDS_TOPIC);
    }
    report.say("the removal of the entry of %s is acknowledged", leaving.id());
    if (scene.trouble()) {
      report.say("the store has deleted the history of %s", Wire.BACKENDS_TOPIC);
    }
    Thread.sleep(QUIET_MS);

    Thread.ofVirtual().start(() -> exit(leaving, report));
    Map<String, Caller.Outcome> outcomes = order(scene, ORDERS);
    int late = 0;
    int lost = 0;
    for (String attempt : leaving.runs().keySet()) {
      if (!runsBefore.containsKey(attempt)) {
        late++;
        Caller.Outcome outcome = outcomes.get(attempt);
        boolean served = outcome != null && outcome.status() == 200;
        lost += served ? 0 : 1;
        report.say("DRAIN: %s reached %s; its consumer got %s", attempt, leaving.id(), outcome);
      }
    }
    report.say(
        "%d requests that were sent %d ms after the acknowledgement reached %s, %d of them were"
            + " lost",
        late, QUIET_MS, leaving.id(), lost);
    return late == 0;
  }

  private static void exit(BackendStandin leaving, Report report) {
    try {
      Thread.sleep(EXIT_DELAY_MS);
      report.say("%s exits", leaving.id());
      leaving.close();
    } catch (Exception e) {
      report.say("could not end %s: %s", leaving.id(), e);
    }
  }

  /** Sends orders at the same time, shared among the instances, and waits for their answers. */
  private static Map<String, Caller.Outcome> order(Harness.Scene scene, int count)
      throws InterruptedException {
    Map<String, Caller.Outcome> outcomes = new ConcurrentHashMap<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Fleet.Instance instance = scene.fleet().instances().get(i % INSTANCES);
      threads.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    try (Caller caller = new Caller(instance.callerPort)) {
                      Caller.Outcome outcome =
                          caller.send("POST", "/orders/pane", "key-of-shop", 8_000, 200);
                      outcomes.put(outcome.id(), outcome);
                      scene
                          .report()
                          .line("%s answers %s with %s", instance.name, outcome.id(), outcome);
                    }
                  }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return outcomes;
  }
}
