package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Unsafe requests while the backends are full, and some backends send a second copy of an answer,
 * late. Exits with 1 if an unsafe request ran twice, or ran although its answer promised that it
 * had not run.
 */
final class LateCopyOfRejection {
  private static final int INSTANCES = 3;
  private static final int SERVICES = 6;
  private static final int BACKENDS_OF_SERVICE = 1;
  private static final double FAULTY_SHARE = 0.5;
  private static final double COPIED_SHARE = 0.03;
  private static final int QUEUE_LENGTH = 4;
  private static final int WORK_MS = 310;
  private static final int CALLERS_OF_SERVICE = 15;
  private static final int BUDGET_MS = 8_000;
  private static final int ROUTE_TIMEOUT_MS = 4_000;
  private static final int MAX_ATTEMPTS = 2;
  private static final int WINDOWS = 8;
  private static final long WINDOW_MS = 5_000;
  private static final long PAUSE_MS = 1_000;
  private static final long SETTLE_MS = 2_000;
  private static final long BURST_INTERVAL_MS = Integer.getInteger("burst", 2_000);

  /**
   * Sends the copy of a rejection again when the same request comes back on the channel, where the
   * answer to that second attempt is expected. At most 3 in 100 answers are repeated.
   */
  private static final class LateCopies implements BackendStandin.Fault {
    private final BackendStandin backend;
    private final Report report;
    private volatile boolean active;
    private int answers;
    private int copies;

    private LateCopies(BackendStandin backend, Report report) {
      this.backend = backend;
      this.report = report;
    }

    @Override
    public void onRun(HttpMessage request, OutputStream out, BackendStandin.Channel channel)
        throws IOException {
      String attempt = request.header(Wire.ATTEMPT_ID).orElse("");
      if (attempt.equals(channel.lastAttempt) && channel.lastAnswer.length > 0 && takeCopy()) {
        report.line("backend %s first repeats its last answer to %s", backend.id(), attempt);
        out.write(channel.lastAnswer);
        out.flush();
      }
    }

    @Override
    public synchronized void afterAnswer(
        HttpMessage request, byte[] answer, BackendStandin.Channel channel) {
      answers++;
      channel.lastAttempt = request.header(Wire.ATTEMPT_ID).orElse("");
      channel.lastAnswer = answer;
    }

    private synchronized boolean takeCopy() {
      if (!active || copies + 1 > answers * COPIED_SHARE) {
        return false;
      }
      copies++;
      return true;
    }

    private synchronized String summary() {
      return String.format("%s: %d of %d answers repeated", backend.id(), copies, answers);
    }
  }

  private static volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    System.exit(Harness.run(LateCopyOfRejection::play));
  }

  private static boolean play(Harness.Scene scene) throws Exception {
    Report report = scene.report();
    StoreStandin store = scene.store();
    Configuration configuration = new Configuration(1).tenant("shop", "key-of-shop");
    for (int s = 0; s < SERVICES; s++) {
      configuration
          .service("orders-" + s)
          .route("/orders-" + s + "/", "unsafe", "orders-" + s, ROUTE_TIMEOUT_MS, MAX_ATTEMPTS);
    }
    configuration.publish(store);
    List<BackendStandin> backends = new ArrayList<>();
    List<LateCopies> faults = new ArrayList<>();
    for (int i = 0; i < BACKENDS_OF_SERVICE * SERVICES; i++) {
      BackendStandin backend =
          scene.closeLater(
              new BackendStandin(
                  "i-" + i,
                  "orders-" + i % SERVICES,
                  "zone-" + (char) ('a' + i / SERVICES % 3),
                  WORK_MS,
                  QUEUE_LENGTH,
                  store,
                  report));
      backends.add(backend);
      if (i < (int) (BACKENDS_OF_SERVICE * SERVICES * FAULTY_SHARE)) {
        LateCopies fault = new LateCopies(backend, report);
        backend.fault = fault;
        faults.add(fault);
      }
    }
    scene.fleet().start(INSTANCES, store);
    Thread.sleep(SETTLE_MS);

    Map<String, Caller.Outcome> outcomes = new ConcurrentHashMap<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CALLERS_OF_SERVICE * SERVICES; i++) {
      Fleet.Instance instance = scene.fleet().instances().get(i % INSTANCES);
      String path = "/orders-" + i / INSTANCES % SERVICES + "/pane";
      threads.add(Thread.ofVirtual().start(() -> keepOrdering(instance, path, outcomes, report)));
    }
    for (int i = 0; i < WINDOWS; i++) {
      Thread.sleep(PAUSE_MS);
      faults.forEach(fault -> fault.active = scene.trouble());
      Thread.sleep(WINDOW_MS);
      faults.forEach(fault -> fault.active = false);
    }
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
    Thread.sleep(SETTLE_MS);
    faults.forEach(fault -> report.line("%s", fault.summary()));
    return judge(backends, outcomes, report);
  }

  private static void keepOrdering(
      Fleet.Instance instance, String path, Map<String, Caller.Outcome> outcomes, Report report) {
    try (Caller caller = new Caller(instance.callerPort)) {
      while (!stopped) {
        Caller.Outcome outcome = caller.send("POST", path, "key-of-shop", BUDGET_MS, 200);
        outcomes.put(outcome.id(), outcome);
        report.line("%s answers %s with %s", instance.name, outcome.id(), outcome);
      }
    }
  }

  private static boolean judge(
      List<BackendStandin> backends, Map<String, Caller.Outcome> outcomes, Report report) {
    Map<Integer, Integer> statuses = new TreeMap<>();
    int ranTwice = 0;
    int falseRefusals = 0;
    for (Caller.Outcome outcome : outcomes.values()) {
      statuses.merge(outcome.status(), 1, Integer::sum);
      int runs =
          backends.stream()
              .map(b -> b.runs().get(outcome.id()))
              .mapToInt(count -> count == null ? 0 : count.get())
              .sum();
      if (runs > 1) {
        ranTwice++;
        report.say("TWICE: %s ran %d times; its consumer got %s", outcome.id(), runs, outcome);
      }
      if (runs > 0 && (outcome.status() == 503 || outcome.status() == 429)) {
        falseRefusals++;
        report.say("REFUSED: %s ran; its consumer got %s", outcome.id(), outcome);
      }
    }
    report.say(
        "%d requests, by status %s; ran twice: %d; refused as not run although run: %d",
        outcomes.size(), statuses, ranTwice, falseRefusals);
    return ranTwice == 0 && falseRefusals == 0;
  }
}
