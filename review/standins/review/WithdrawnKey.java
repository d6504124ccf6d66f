package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Safe requests with a key that the operator takes away; counts those that are run later than
 * {@code config_apply} after the acknowledgement.
 */
final class WithdrawnKey {
  private static final int BACKENDS = 6;
  private static final int WORK_MS = 50;
  private static final int QUEUE_LENGTH = 8;
  private static final long CONFIG_APPLY_MS = 2_000;
  private static final long REQUEST_INTERVAL_MS = 200;
  private static final String KEPT_KEY = "key-that-stays";
  private static final String KEY = "key-that-goes";

  private final Report report;
  private final StoreStandin store;
  private final AtomicInteger late = new AtomicInteger();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;
  private volatile long withdrawnAt = Long.MAX_VALUE;

  /** Publishes version 1, which has the key, and starts the backends. */
  WithdrawnKey(Harness.Scene scene) throws IOException {
    report = scene.report();
    store = scene.store();
    publish(1, KEPT_KEY, KEY);
    for (int i = 0; i < BACKENDS; i++) {
      scene.closeLater(
          new BackendStandin(
              "i-" + i,
              "stock",
              "zone-" + (char) ('a' + i % 3),
              WORK_MS,
              QUEUE_LENGTH,
              store,
              report));
    }
  }

  private void publish(int version, String... keys) {
    new Configuration(version)
        .service("stock")
        .route("/stock/", "safe", "stock", 3_000, 2)
        .tenant("shop", keys)
        .publish(store);
    report.say("version %d is acknowledged", version);
  }

  /** Publishes a version that still has the key and adds another one. */
  void addOtherKey(int version) {
    publish(version, KEPT_KEY, KEY, "key-that-is-new");
  }

  /** Publishes a version without the key. */
  void withdraw(int version) {
    publish(version, KEPT_KEY);
    withdrawnAt = System.nanoTime();
    report.say("it takes a key away");
  }

  /** Starts to send requests with the key to each of the instances. */
  void request(Collection<Fleet.Instance> instances) {
    for (Fleet.Instance instance : instances) {
      threads.add(Thread.ofVirtual().start(() -> requestUntilStopped(instance)));
    }
  }

  /** Ends the requests and returns how many were run too late. */
  int stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
    report.say(
        "CONFIG: %d requests with the withdrawn key, sent later than %d ms after the"
            + " acknowledgement, were run",
        late.get(), CONFIG_APPLY_MS);
    return late.get();
  }

  private void requestUntilStopped(Fleet.Instance instance) {
    try (Caller caller = new Caller(instance.callerPort)) {
      while (!stopped) {
        long sentAt = System.nanoTime();
        Caller.Outcome outcome = caller.send("GET", "/stock/1", KEY, 3_000, 0);
        boolean isLate =
            withdrawnAt != Long.MAX_VALUE && sentAt - withdrawnAt > CONFIG_APPLY_MS * 1_000_000;
        if (isLate && outcome.status() == 200) {
          late.incrementAndGet();
        }
        report.line(
            "%s answers %s with %s%s",
            instance.name,
            outcome.id(),
            outcome,
            isLate ? " (sent later than config_apply after the key was withdrawn)" : "");
        Thread.sleep(REQUEST_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
