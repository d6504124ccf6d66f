package review;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All machines but one are lost, and all consumers of the site go on at the one that is left, at
 * the site's usual rate. Exits with 1 if requests there stay without an answer beyond the timeout
 * of their route.
 */
final class LastMachine {
  private static final int INSTANCES = 4;
  private static final int CONSUMERS = 1_700;
  private static final double REQUESTS_PER_SECOND = 103.7;
  private static final long MEAN_PAUSE_MS = (long) (CONSUMERS / REQUESTS_PER_SECOND * 1_000);
  // Four fifths of the idle timeout in the configuration.
  private static final long MAX_IDLE_MS = 12_000;
  private static final long BEFORE_LOSS_MS = 18_000;
  private static final long BEFORE_BURST_MS = 16_000;
  private static final int MORE_CONSUMERS = (int) (0.7 * CONSUMERS);
  private static final long BURST_MS = 3_000;
  private static final long AFTER_BURST_MS = 35_000;
  private static final long CONTACT_MS = 5_000;
  private static final long TIMEOUT_MARGIN_MS = 500;
  private static final int MIN_COUNT = 8;

  /**
   * A kind of request.
   *
   * @param weight its share of all requests, relative to the other kinds
   */
  private record Kind(
      String method,
      String service,
      double weight,
      int workMs,
      int timeoutMs,
      int budgetMs,
      int requestBytes,
      int answerBytes,
      int backends) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind("GET", "routing", 17.1, 400, 6_000, 6_000, 0, 5_000, 6),
          new Kind("POST", "discharge", 48.3, 310, 4_000, 8_000, 1_200, 5_000, 12),
          new Kind("GET", "records", 38.3, 520, 6_000, 12_000, 0, 800, 16));

  private static volatile boolean stopped;
  private static volatile long burstEndedAt = Long.MAX_VALUE;

  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger overdue = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();

  public static void main(String[] arguments) throws Exception {
    System.exit(Harness.run(new LastMachine()::play));
  }

  private boolean play(Harness.Scene scene) throws Exception {
    Report report = scene.report();
    StoreStandin store = scene.store();
    Configuration configuration = new Configuration(1).tenant("shop", "key-of-shop");
    int number = 0;
    for (Kind kind : KINDS) {
      configuration
          .service(kind.service())
          .route(
              "/" + kind.service() + "/",
              kind.method().equals("POST") ? "unsafe" : "safe",
              kind.service(),
              kind.timeoutMs(),
              2);
      for (int i = 0; i < kind.backends(); i++) {
        BackendStandin backend =
            scene.closeLater(
                new BackendStandin(
                    "i-" + number,
                    kind.service(),
                    "zone-" + (char) ('a' + number % 3),
                    kind.workMs(),
                    16,
                    store,
                    report));
        backend.answerBytes = kind.answerBytes();
        number++;
      }
    }
    configuration.publish(store);
    scene.fleet().start(INSTANCES, store);

    List<Fleet.Instance> instances = scene.fleet().instances();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      int seed = i;
      threads.add(Thread.ofVirtual().start(() -> consume(instances, random(seed), report)));
    }
    Thread.sleep(BEFORE_LOSS_MS);
    if (scene.trouble()) {
      instances.subList(1, INSTANCES).forEach(i -> i.process.destroyForcibly());
      report.say("all machines but %s are lost", instances.get(0).name);
    }
    Thread.sleep(BEFORE_BURST_MS);
    report.say("many users come at once");
    for (int i = 0; i < MORE_CONSUMERS; i++) {
      int seed = CONSUMERS + i;
      threads.add(Thread.ofVirtual().start(() -> visit(instances, random(seed), report)));
    }
    Thread.sleep(BURST_MS);
    burstEndedAt = System.nanoTime();
    report.say("the burst is over");
    Thread.sleep(AFTER_BURST_MS);
    stopped = true;
    for (Thread thread : threads) {
      thread.interrupt();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    report.say(
        "later than %d ms after the burst: %d requests; complete answers in time: %d; unanswered"
            + " at the route's timeout: %d, of these also %d ms later: %d; %s is %s",
        CONTACT_MS,
        sent.get(),
        answered.get(),
        overdue.get(),
        TIMEOUT_MARGIN_MS,
        unanswered.get(),
        instances.get(0).name,
        instances.get(0).process.isAlive() ? "alive" : "gone");
    report.say("GET /v1/ready of %s: %s", instances.get(0).name, instances.get(0).isReady());
    if (Files.readString(scene.fleet().log(instances.get(0))).contains("OutOfMemoryError")) {
      report.say("its log has an OutOfMemoryError");
    }
    return instances.get(0).process.isAlive()
        && (unanswered.get() < MIN_COUNT || unanswered.get() * 2 <= overdue.get());
  }

  private void consume(List<Fleet.Instance> instances, Random random, Report report) {
    Optional<Caller> kept = Optional.empty();
    Fleet.Instance instance = instances.get(random.nextInt(INSTANCES));
    try {
      Thread.sleep((long) (random.nextDouble() * MEAN_PAUSE_MS));
      while (!stopped) {
        if (!instance.process.isAlive()) {
          // The platform's balancer forwards a new channel to a machine that is ready.
          instance = instances.get(0);
          kept = Optional.empty();
        }
        Caller caller = kept.isPresent() ? kept.get() : new Caller(instance.callerPort);
        kept = Optional.of(caller);
        request(caller, instance, choose(random), report);
        long pause = (long) (-Math.log(1 - random.nextDouble()) * MEAN_PAUSE_MS);
        Thread.sleep(pause);
        if (pause > MAX_IDLE_MS) {
          // The consumer doesn't reuse a channel that has been idle for so long; it opens a new
          // one.
          caller.close();
        }
      }
    } catch (InterruptedException e) {
      // The script ends.
    } finally {
      kept.ifPresent(Caller::close);
    }
  }

  /** One user of the burst: one request, then the channel stays open until it is too old. */
  private void visit(List<Fleet.Instance> instances, Random random, Report report) {
    Fleet.Instance instance = instances.get(random.nextInt(INSTANCES));
    try {
      Thread.sleep((long) (random.nextDouble() * BURST_MS));
      if (!instance.process.isAlive()) {
        instance = instances.get(0);
      }
      try (Caller caller = new Caller(instance.callerPort)) {
        request(caller, instance, choose(random), report);
        Thread.sleep(MAX_IDLE_MS);
      }
    } catch (InterruptedException e) {
      // The script ends.
    }
  }

  // Neighbouring seeds of Random begin with almost the same number.
  private static Random random(int seed) {
    return new Random(seed * 0x9E3779B97F4A7C15L);
  }

  private static Kind choose(Random random) {
    double draw = random.nextDouble() * KINDS.stream().mapToDouble(Kind::weight).sum();
    for (Kind kind : KINDS) {
      draw -= kind.weight();
      if (draw < 0) {
        return kind;
      }
    }
    return KINDS.getLast();
  }

  private void request(Caller caller, Fleet.Instance instance, Kind kind, Report report) {
    long sentAt = System.nanoTime();
    Caller.Outcome outcome =
        caller.send(
            kind.method(),
            "/" + kind.service() + "/1",
            "key-of-shop",
            kind.budgetMs(),
            kind.requestBytes());
    long tookMs = (System.nanoTime() - sentAt) / 1_000_000;
    boolean counts =
        burstEndedAt != Long.MAX_VALUE
            && (sentAt - burstEndedAt) / 1_000_000 > CONTACT_MS
            && !stopped;
    report.line(
        "%s %s answers %s with %s after %d ms%s",
        instance.name,
        kind.service(),
        outcome.id(),
        outcome,
        tookMs,
        counts ? "" : " (not counted)");
    if (!counts) {
      return;
    }
    sent.incrementAndGet();
    if (outcome.answer().isPresent() && tookMs <= kind.timeoutMs()) {
      answered.incrementAndGet();
    }
    if (tookMs > kind.timeoutMs()) {
      overdue.incrementAndGet();
    }
    if (tookMs > kind.timeoutMs() + TIMEOUT_MARGIN_MS) {
      unanswered.incrementAndGet();
    }
  }
}
