package review;

/**
 * All open channels to the store go silent for good, while new ones work; the operator takes a key
 * away after {@code contact}. Exits with 1 if machines still run requests with that key later than
 * {@code config_apply} after the acknowledgement.
 */
final class SilentConnections {
  private static final int INSTANCES = 6;
  private static final long SETTLE_MS = 8_000;
  private static final long POLL_RESTART_MS = 1_000;
  private static final long CONTACT_MS = 3_000;
  private static final long MARGIN_MS = 300;
  private static final long AFTER_WITHDRAWAL_MS = 8_000;

  public static void main(String[] arguments) throws Exception {
    System.exit(Harness.run(SilentConnections::play));
  }

  private static boolean play(Harness.Scene scene) throws Exception {
    WithdrawnKey key = new WithdrawnKey(scene);
    scene.fleet().start(INSTANCES, scene.store());
    Thread.sleep(SETTLE_MS);
    // Begins a new long poll on each channel.
    key.addOtherKey(3);
    Thread.sleep(POLL_RESTART_MS);

    key.request(scene.fleet().instances());
    if (scene.trouble()) {
      scene.fleet().instances().forEach(i -> i.store.silenceOpenConnections());
      scene.report().say("all open channels to the store go silent; new ones work");
    }
    Thread.sleep(CONTACT_MS + MARGIN_MS);
    key.withdraw(4);
    Thread.sleep(AFTER_WITHDRAWAL_MS);
    return key.stop() == 0;
  }
}
