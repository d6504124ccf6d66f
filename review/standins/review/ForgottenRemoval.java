package review;

/**
 * A backend leaves: its entry is removed, and right afterwards the store deletes the history of the
 * entries. Exits with 1 if the backend gets requests that consumers sent later than {@code drain}
 * after the removal was acknowledged.
 */
final class ForgottenRemoval {
  private static final int INSTANCES = 3;
  private static final long SETTLE_MS = 8_000;
  // Longer than drain (2 s) and contact (3 s).
  private static final long QUIET_MS = 3_500;
  private static final long EXIT_DELAY_MS = 500;

  public static void main(String[] arguments) throws Exception {
    System.exit(Harness.run(ForgottenRemoval::play));
  }

  private static boolean play(Harness.Scene scene) throws Exception {
    Report report = scene.report();
    Orders orders = new Orders(scene);
    scene.fleet().start(INSTANCES, scene.store());
    Thread.sleep(SETTLE_MS);
    orders.send(scene.fleet().instances());

    BackendStandin leaving = orders.busiest();
    leaving.removeEntry();
    if (scene.trouble()) {
      scene.store().compact(Wire.BACKENDS_TOPIC);
    }
    report.say("the removal of the entry of %s is acknowledged", leaving.id());
    if (scene.trouble()) {
      report.say("the store has deleted the history of %s", Wire.BACKENDS_TOPIC);
    }
    Thread.sleep(QUIET_MS);
    return orders.sendWhileLeaving(leaving, EXIT_DELAY_MS, scene.fleet().instances()) == 0;
  }
}
