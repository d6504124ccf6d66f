package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store turns the machines away that wait for new configurations, and serves the others; the
 * operator takes a key away meanwhile. Exits with 1 if a machine that the store serves still runs
 * requests with that key later than {@code config_apply} after the acknowledgement.
 */
final class RejectedReaders {
  private static final int INSTANCES = 9;
  private static final int BACKENDS = 6;
  private static final int WORK_MS = 50;
  private static final long SETTLE_MS = 12_000;
  private static final long OUTAGE_MS = 9_000;
  private static final long PUBLISH_DELAY_MS = 500;
  private static final long CONFIG_APPLY_MS = 2_000;
  private static final long REQUEST_INTERVAL_MS = 200;
  private static final String KEPT_KEY = "key-that-stays";
  private static final String WITHDRAWN_KEY = "key-that-goes";

  private static volatile boolean stopped;
  private static volatile long acknowledgedAt = Long.MAX_VALUE;

  public static void main(String[] arguments) throws Exception {
    System.exit(Harness.run(RejectedReaders::play));
  }

  private static Configuration configuration(int version, String... keys) {
    return new Configuration(version)
        .service("stock")
        .route("/stock/", "safe", "stock", 3_000, 2)
        .tenant("shop", keys);
  }

  private static boolean play(Harness.Scene scene) throws Exception {
    Report report = scene.report();
    StoreStandin store = scene.store();
    configuration(1, KEPT_KEY, WITHDRAWN_KEY).publish(store);
    for (int i = 0; i < BACKENDS; i++) {
      scene.closeLater(
          new BackendStandin(
              "i-" + i, "stock", "zone-" + (char) ('a' + i % 3), WORK_MS, 8, store, report));
    }
    scene.fleet().start(INSTANCES, store);
    Thread.sleep(SETTLE_MS);

    List<Fleet.Instance> all = scene.fleet().instances();
    List<Fleet.Instance> waiting =
        all.stream().filter(i -> i.store.isWaiting(Wire.CONFIGURATION_TOPIC)).toList();
    // At most a third of the machines.
    List<Fleet.Instance> rejected = waiting.subList(0, Math.min(waiting.size(), INSTANCES / 3));
    Set<Fleet.Instance> served = new java.util.LinkedHashSet<>(all);
    served.removeAll(rejected);
    report.say(
        "waiting for configurations at the store: %s", waiting.stream().map(i -> i.name).toList());
    AtomicInteger late = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (Fleet.Instance instance : served) {
      threads.add(Thread.ofVirtual().start(() -> ask(instance, late, report)));
    }
    if (scene.trouble()) {
      rejected.forEach(i -> i.store.switchTo(StoreStandin.Mode.REJECT));
      report.say("the store answers %s with 503", rejected.stream().map(i -> i.name).toList());
    }
    Thread.sleep(PUBLISH_DELAY_MS);
    configuration(2, KEPT_KEY).publish(store);
    acknowledgedAt = System.nanoTime();
    report.say("version 2 is acknowledged; it takes a key away");
    Thread.sleep(OUTAGE_MS - PUBLISH_DELAY_MS);
    rejected.forEach(i -> i.store.switchTo(StoreStandin.Mode.SERVE));
    report.say("the store serves all machines again");
    Thread.sleep(1_000);
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
    report.say(
        "CONFIG: %d requests with the withdrawn key, sent later than %d ms after the"
            + " acknowledgement to machines that the store serves, were run",
        late.get(), CONFIG_APPLY_MS);
    return late.get() == 0;
  }

  private static void ask(Fleet.Instance instance, AtomicInteger late, Report report) {
    try (Caller caller = new Caller(instance.callerPort)) {
      while (!stopped) {
        long sentAt = System.nanoTime();
        Caller.Outcome outcome = caller.send("GET", "/stock/1", WITHDRAWN_KEY, 3_000, 0);
        boolean isLate =
            acknowledgedAt != Long.MAX_VALUE
                && sentAt - acknowledgedAt > CONFIG_APPLY_MS * 1_000_000;
        if (isLate && outcome.status() == 200) {
          late.incrementAndGet();
        }
        report.line(
            "%s answers %s with %s%s",
            instance.name,
            outcome.id(),
            outcome,
            isLate ? " (sent later than config_apply after version 2)" : "");
        Thread.sleep(REQUEST_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
