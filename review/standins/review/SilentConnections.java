package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All open channels to the store go silent for good, while new ones work; the operator takes a key
 * away after {@code contact}. Exits with 1 if machines still run requests with that key later than
 * {@code config_apply} after the acknowledgement.
 */
final class SilentConnections {
  private static final int INSTANCES = 6;
  private static final int BACKENDS = 6;
  private static final int WORK_MS = 50;
  private static final long SETTLE_MS = 8_000;
  private static final long CONTACT_MS = 3_000;
  private static final long MARGIN_MS = 300;
  private static final long AFTER_PUBLISH_MS = 8_000;
  private static final long CONFIG_APPLY_MS = 2_000;
  private static final long REQUEST_INTERVAL_MS = 200;
  private static final String KEPT_KEY = "key-that-stays";
  private static final String WITHDRAWN_KEY = "key-that-goes";

  private static volatile boolean stopped;
  private static volatile long acknowledgedAt = Long.MAX_VALUE;

  public static void main(String[] arguments) throws Exception {
    System.exit(Harness.run(SilentConnections::play));
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
    configuration(3, KEPT_KEY, WITHDRAWN_KEY, "key-that-is-new").publish(store);
    report.say("version 3 is acknowledged; it adds a key");
    Thread.sleep(1_000);

    AtomicInteger late = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (Fleet.Instance instance : scene.fleet().instances()) {
      threads.add(Thread.ofVirtual().start(() -> ask(instance, late, report)));
    }
    if (scene.trouble()) {
      scene.fleet().instances().forEach(i -> i.store.silenceOpenConnections());
      report.say("all open channels to the store go silent; new ones work");
    }
    Thread.sleep(CONTACT_MS + MARGIN_MS);
    configuration(4, KEPT_KEY).publish(store);
    acknowledgedAt = System.nanoTime();
    report.say("version 4 is acknowledged; it takes a key away");
    Thread.sleep(AFTER_PUBLISH_MS);
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
    report.say(
        "CONFIG: %d requests with the withdrawn key, sent later than %d ms after the"
            + " acknowledgement, were run",
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
            isLate ? " (sent later than config_apply after version 4)" : "");
        Thread.sleep(REQUEST_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
