package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Unsafe orders to one service, one of whose backends leaves without reporting that it drains. */
final class Orders {
  private static final int BACKENDS = 6;
  private static final int WORK_MS = 900;
  private static final int QUEUE_LENGTH = 16;
  private static final int ORDERS = 24;

  private final Report report;
  private final List<BackendStandin> backends = new ArrayList<>();

  /** Publishes the configuration and starts the backends. */
  Orders(Harness.Scene scene) throws IOException {
    report = scene.report();
    new Configuration(1)
        .service("orders")
        .route("/orders/", "unsafe", "orders", 4_000, 2)
        .tenant("shop", "key-of-shop")
        .publish(scene.store());
    for (int i = 0; i < BACKENDS; i++) {
      backends.add(
          scene.closeLater(
              new BackendStandin(
                  "i-" + i,
                  "orders",
                  "zone-" + (char) ('a' + i % 3),
                  WORK_MS,
                  QUEUE_LENGTH,
                  scene.store(),
                  report)));
    }
  }

  /** Returns the backend that has run the most orders, because the instances prefer proven ones. */
  BackendStandin busiest() {
    return backends.stream().max(Comparator.comparingInt(b -> b.runs().size())).orElseThrow();
  }

  /**
   * Sends orders while a backend leaves, and reports those that it gets.
   *
   * @param leaving a backend whose entry was removed
   * @param exitDelayMs how long the backend goes on serving
   * @param instances the machines that get the orders
   * @return how many orders the backend got
   */
  int sendWhileLeaving(BackendStandin leaving, long exitDelayMs, List<Fleet.Instance> instances)
      throws InterruptedException {
    Set<String> before = new HashSet<>(leaving.runs().keySet());
    Thread.ofVirtual().start(() -> exit(leaving, exitDelayMs));
    Map<String, Caller.Outcome> outcomes = send(instances);
    int late = 0;
    int lost = 0;
    for (String attempt : leaving.runs().keySet()) {
      if (!before.contains(attempt)) {
        late++;
        Caller.Outcome outcome = outcomes.get(attempt);
        lost += outcome != null && outcome.status() == 200 ? 0 : 1;
        report.say("DRAIN: %s reached %s; its consumer got %s", attempt, leaving.id(), outcome);
      }
    }
    report.say(
        "%d of %d late orders reached %s, %d of them were lost", late, ORDERS, leaving.id(), lost);
    return late;
  }

  private void exit(BackendStandin leaving, long delayMs) {
    try {
      Thread.sleep(delayMs);
      report.say("%s exits", leaving.id());
      leaving.close();
    } catch (Exception e) {
      report.say("could not end %s: %s", leaving.id(), e);
    }
  }

  /** Sends orders at the same time, shared among the instances, and waits for their answers. */
  Map<String, Caller.Outcome> send(List<Fleet.Instance> instances) throws InterruptedException {
    Map<String, Caller.Outcome> outcomes = new ConcurrentHashMap<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < ORDERS; i++) {
      Fleet.Instance instance = instances.get(i % instances.size());
      threads.add(Thread.ofVirtual().start(() -> send(instance, outcomes)));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return outcomes;
  }

  private void send(Fleet.Instance instance, Map<String, Caller.Outcome> outcomes) {
    try (Caller caller = new Caller(instance.callerPort)) {
      Caller.Outcome outcome = caller.send("POST", "/orders/pane", "key-of-shop", 8_000, 200);
      outcomes.put(outcome.id(), outcome);
      report.line("%s answers %s with %s", instance.name, outcome.id(), outcome);
    }
  }
}
