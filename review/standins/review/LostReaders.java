package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Half of the machines lose power for 2 s, and a backend leaves meanwhile, whose entry is removed.
 * Exits with 1 if the backend gets requests that consumers sent later than {@code drain} after the
 * removal was acknowledged, to machines that were not disturbed.
 */
final class LostReaders {
  private static final int INSTANCES = 10;

  /**
   * Half of the machines: those that read the list of backends first, in the order of their ids.
   */
  private static final Set<String> LOST =
      Set.of("front-3", "front-1", "front-8", "front-4", "front-5");

  private static final int BACKENDS = 6;
  private static final int WORK_MS = 900;
  private static final int QUEUE_LENGTH = 16;
  private static final int ORDERS = 24;
  private static final long SETTLE_MS = 8_000;
  private static final long DARK_MS = 2_000;
  private static final long REMOVAL_DELAY_MS = 500;
  // Longer than drain (2 s).
  private static final long QUIET_MS = 2_400;
  // The backend serves for 3 s after its removal.
  private static final long EXIT_DELAY_MS = 600;

  public static void main(String[] arguments) throws Exception {
    System.exit(Harness.run(LostReaders::play));
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
    List<Fleet.Instance> left =
        scene.fleet().instances().stream().filter(i -> !LOST.contains(i.name)).toList();
    order(left, report);

    if (scene.trouble()) {
      for (Fleet.Instance instance : scene.fleet().instances()) {
        if (LOST.contains(instance.name)) {
          Fleet.freeze(instance);
          Thread.ofVirtual().start(() -> returnPower(scene, instance));
        }
      }
      report.say("%d of %d machines lose power: %s", LOST.size(), INSTANCES, LOST);
    }
    Thread.sleep(REMOVAL_DELAY_MS);
    BackendStandin leaving = backends.getFirst();
    Map<String, ?> runsBefore = Map.copyOf(leaving.runs());
    leaving.removeEntry();
    report.say("the removal of the entry of %s is acknowledged", leaving.id());
    Thread.sleep(QUIET_MS);

    Thread.ofVirtual().start(() -> exit(leaving, report));
    Map<String, Caller.Outcome> outcomes = order(left, report);
    int late = 0;
    int lost = 0;
    for (String attempt : leaving.runs().keySet()) {
      if (!runsBefore.containsKey(attempt)) {
        late++;
        Caller.Outcome outcome = outcomes.get(attempt);
        lost += outcome != null && outcome.status() == 200 ? 0 : 1;
        report.say("DRAIN: %s reached %s; its consumer got %s", attempt, leaving.id(), outcome);
      }
    }
    report.say(
        "%d requests that were sent %d ms after the acknowledgement reached %s, %d of them were"
            + " lost",
        late, QUIET_MS, leaving.id(), lost);
    return late == 0;
  }

  private static void returnPower(Harness.Scene scene, Fleet.Instance instance) {
    try {
      Thread.sleep(DARK_MS);
      instance.process.destroyForcibly().waitFor();
      scene.fleet().start(instance);
      scene.report().line("%s has power again and starts", instance.name);
    } catch (Exception e) {
      scene.report().say("could not start %s again: %s", instance.name, e);
    }
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
  private static Map<String, Caller.Outcome> order(List<Fleet.Instance> instances, Report report)
      throws InterruptedException {
    Map<String, Caller.Outcome> outcomes = new ConcurrentHashMap<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < ORDERS; i++) {
      Fleet.Instance instance = instances.get(i % instances.size());
      threads.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    try (Caller caller = new Caller(instance.callerPort)) {
                      Caller.Outcome outcome =
                          caller.send("POST", "/orders/pane", "key-of-shop", 8_000, 200);
                      outcomes.put(outcome.id(), outcome);
                      report.line("%s answers %s with %s", instance.name, outcome.id(), outcome);
                    }
                  }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return outcomes;
  }
}
