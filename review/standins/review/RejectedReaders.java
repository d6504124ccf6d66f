package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The store turns the machines away that wait for new configurations, and serves the others; the
 * operator takes a key away meanwhile. Exits with 1 if a machine that the store serves still runs
 * requests with that key later than {@code config_apply} after the acknowledgement.
 */
final class RejectedReaders {
  private static final int INSTANCES = 9;
  private static final long SETTLE_MS = 12_000;
  private static final long OUTAGE_MS = 9_000;
  private static final long WITHDRAWAL_DELAY_MS = 500;
  private static final long AFTER_OUTAGE_MS = 1_000;

  public static void main(String[] arguments) throws Exception {
    System.exit(Harness.run(RejectedReaders::play));
  }

  private static boolean play(Harness.Scene scene) throws Exception {
    Report report = scene.report();
    WithdrawnKey key = new WithdrawnKey(scene);
    scene.fleet().start(INSTANCES, scene.store());
    Thread.sleep(SETTLE_MS);

    List<Fleet.Instance> all = scene.fleet().instances();
    List<Fleet.Instance> waiting =
        all.stream().filter(i -> i.store.isWaiting(Wire.CONFIGURATION_TOPIC)).toList();
    // At most a third of the machines.
    List<Fleet.Instance> rejected = waiting.subList(0, Math.min(waiting.size(), INSTANCES / 3));
    report.say("waiting for configurations at the store: %s", names(waiting));
    List<Fleet.Instance> served = new ArrayList<>(all);
    served.removeAll(rejected);
    key.request(served);
    if (scene.trouble()) {
      rejected.forEach(i -> i.store.switchTo(StoreStandin.Mode.REJECT));
      report.say("the store answers %s with 503", names(rejected));
    }
    Thread.sleep(WITHDRAWAL_DELAY_MS);
    key.withdraw(2);
    Thread.sleep(OUTAGE_MS - WITHDRAWAL_DELAY_MS);
    rejected.forEach(i -> i.store.switchTo(StoreStandin.Mode.SERVE));
    report.say("the store serves all machines again");
    Thread.sleep(AFTER_OUTAGE_MS);
    return key.stop() == 0;
  }

  private static List<String> names(List<Fleet.Instance> instances) {
    return instances.stream().map(i -> i.name).toList();
  }
}
