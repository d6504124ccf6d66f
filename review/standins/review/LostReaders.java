package review;

import java.util.List;
import java.util.Set;

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
    Orders orders = new Orders(scene);
    scene.fleet().start(INSTANCES, scene.store());
    Thread.sleep(SETTLE_MS);
    List<Fleet.Instance> left =
        scene.fleet().instances().stream().filter(i -> !LOST.contains(i.name)).toList();
    orders.send(left);

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
    BackendStandin leaving = orders.busiest();
    leaving.removeEntry();
    report.say("the removal of the entry of %s is acknowledged", leaving.id());
    Thread.sleep(QUIET_MS);
    return orders.sendWhileLeaving(leaving, EXIT_DELAY_MS, left) == 0;
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
}
