package org.bergamotcross.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.InFlightCounts;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.core.routing.TargetChooser;
import org.bergamotcross.core.routing.TargetNotices;

/**
 * Simulates many instances that choose targets of one pool by shared estimates of failure risk.
 *
 * <p>The load: at any time some targets fail most of their requests for seconds, and for a while
 * some targets cannot be reached from some instances. Measured are the served requests and how
 * evenly the sound targets are used while requests fail.
 */
final class SharedRiskSimulation {
  /**
   * A pool and its load.
   *
   * @param instances the number of instances
   * @param targets the number of targets
   * @param requestsPerSecond the arrival rate of the pool
   * @param idempotentShare the share of requests that may be repeated
   * @param seconds the length of the run, in seconds
   */
  record Load(
      int instances, int targets, double requestsPerSecond, double idempotentShare, int seconds) {}

  /**
   * The result of a run.
   *
   * @param served the share of the requests that succeeded
   * @param unevenWindows the number of windows of 2 s, half a second apart, in which more than a
   *     tenth but under half of the requests failed and less than {@link #MIN_USED_SHARE} of the
   *     sound targets got requests
   */
  record Result(double served, int unevenWindows) {}

  static final double MIN_USED_SHARE = 0.7;

  private static final double MEAN_SOUND_SECONDS = 6.3;
  private static final double MEAN_FAILING_SECONDS = 2.7;
  private static final double FAILURE_RATE = 0.85;
  private static final double SOUND_FAILURE_RATE = 0.012;
  private static final double CUT_TARGET_SHARE = 0.37;
  private static final double CUT_INSTANCE_SHARE = 0.2;
  private static final long CUT_START_MICROS = 6_000_000;
  private static final long CUT_END_MICROS = 14_000_000;
  private static final long SERVICE_MICROS = 340_000;
  private static final long STALL_MICROS = 1_200_000;
  private static final long UNSOUND_AFTER_FAILURE_MICROS = 2_000_000;
  private static final long UNSOUND_AFTER_CUT_MICROS = 8_000_000;
  private static final long PEER_DELAY_MICROS = 3_000;
  private static final long BATCH_MICROS = 1_500_000;
  private static final long WINDOW_MICROS = 2_000_000;
  private static final long WINDOW_STEP_MICROS = 500_000;
  private static final int MAX_ATTEMPTS = 3;
  private static final HealthView HEALTHY = new HealthView(Map.of());

  private record Arrival(long atMicros, int target) {}

  private record End(long atMicros, boolean served) {}

  private final Load load;
  private final Pool pool;
  private final UniformRandomProvider random;
  private final EventScheduler scheduler = new EventScheduler();
  private final List<SimulatedInstance> instances = new ArrayList<>();
  private final boolean[] failing;
  private final boolean[] cut;
  private final long[] lastFailureMicros;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<End> ends = new ArrayList<>();
  private int unevenWindows;

  private SharedRiskSimulation(Load load, long seed) {
    this.load = load;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    Deployment deployment = new Deployment("risk", 3, load.instances(), load.targets(), 500);
    this.pool = deployment.createPool();
    this.failing = new boolean[load.targets()];
    this.cut = new boolean[load.targets()];
    this.lastFailureMicros = new long[load.targets()];
    Arrays.fill(lastFailureMicros, -UNSOUND_AFTER_FAILURE_MICROS);
    for (int i = 0; i < load.instances(); i++) {
      instances.add(new SimulatedInstance(i, deployment, seed * 1_000 + i));
    }
  }

  /** Simulates a load to its end. */
  static Result run(Load load, long seed) {
    return new SharedRiskSimulation(load, seed).run();
  }

  private Result run() {
    for (int target = 0; target < load.targets(); target++) {
      cut[target] = random.nextDouble() < CUT_TARGET_SHARE;
      failing[target] =
          random.nextDouble() < MEAN_FAILING_SECONDS / (MEAN_FAILING_SECONDS + MEAN_SOUND_SECONDS);
      scheduleChange(target);
    }
    scheduleArrival();
    scheduler.scheduleAfter(WINDOW_MICROS, this::checkWindow);
    scheduler.runUntil(load.seconds() * 1_000_000L);
    return new Result(1 - failedShare(ends), unevenWindows);
  }

  private static double failedShare(List<End> ended) {
    return (double) ended.stream().filter(end -> !end.served()).count() / Math.max(1, ended.size());
  }

  private long exponentialMicros(double meanSeconds) {
    return (long) (-Math.log(1 - random.nextDouble()) * meanSeconds * 1e6);
  }

  private void scheduleChange(int target) {
    double mean = failing[target] ? MEAN_FAILING_SECONDS : MEAN_SOUND_SECONDS;
    scheduler.scheduleAfter(
        exponentialMicros(mean),
        () -> {
          failing[target] = !failing[target];
          scheduleChange(target);
        });
  }

  private void scheduleArrival() {
    scheduler.scheduleAfter(
        exponentialMicros(1 / load.requestsPerSecond()),
        () -> {
          SimulatedInstance instance = instances.get(random.nextInt(instances.size()));
          instance.send(random.nextDouble() < load.idempotentShare(), 1, Optional.empty());
          scheduleArrival();
        });
  }

  private void checkWindow() {
    long now = scheduler.timeMicros();
    long from = now - WINDOW_MICROS;
    List<End> ended = ends.stream().filter(end -> end.atMicros() >= from).toList();
    double failed = failedShare(ended);
    int[] sound = IntStream.range(0, load.targets()).filter(t -> isSoundSince(t, from)).toArray();
    long used =
        Arrays.stream(sound)
            .filter(t -> arrivals.stream().anyMatch(a -> a.target() == t && a.atMicros() >= from))
            .count();
    if (failed > 0.1 && failed < 0.5 && used > 0 && used < MIN_USED_SHARE * sound.length) {
      unevenWindows++;
    }
    scheduler.scheduleAfter(WINDOW_STEP_MICROS, this::checkWindow);
  }

  private boolean isSoundSince(int target, long from) {
    boolean cutRecently =
        cut[target]
            && scheduler.timeMicros() >= CUT_START_MICROS
            && from < CUT_END_MICROS + UNSOUND_AFTER_CUT_MICROS;
    return !cutRecently && from - lastFailureMicros[target] >= UNSOUND_AFTER_FAILURE_MICROS;
  }

  private boolean isCut(int instance, int target) {
    long now = scheduler.timeMicros();
    return cut[target]
        && now >= CUT_START_MICROS
        && now < CUT_END_MICROS
        && instance < load.instances() * CUT_INSTANCE_SHARE;
  }

  /** An instance with its own estimates, which are updated by all instances. */
  private final class SimulatedInstance {
    private final int index;
    private final FailureRisk risks = new FailureRisk();
    private final PoolLoad poolLoad = new PoolLoad();
    private final InFlightCounts inFlight = new InFlightCounts();
    private final TargetChooser chooser;

    SimulatedInstance(int index, Deployment deployment, long seed) {
      this.index = index;
      UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      this.chooser =
          new TargetChooser(
              deployment.failureDomain(index),
              inFlight,
              risks,
              poolLoad,
              new TargetNotices(own),
              own);
      risks.retainTargets(
          IntStream.range(0, load.targets()).mapToObj(Deployment::targetId).toList(),
          scheduler.now());
    }

    void send(boolean idempotent, int attempt, Optional<TargetId> previous) {
      TargetChoice choice = chooser.choose(pool, HEALTHY, idempotent, previous, scheduler.now());
      if (!(choice instanceof TargetChoice.Chosen chosen)) {
        scheduler.scheduleAfter(10_000, () -> send(idempotent, attempt, previous));
        return;
      }
      TargetId id = chosen.target().id();
      int target = Integer.parseInt(id.value().substring(1));
      inFlight.onAttemptStarted(id);
      if (isCut(index, target)) {
        scheduler.scheduleAfter(STALL_MICROS, () -> onStall(target, idempotent, attempt));
        return;
      }
      arrivals.add(new Arrival(scheduler.timeMicros(), target));
      boolean fails = random.nextDouble() < (failing[target] ? FAILURE_RATE : SOUND_FAILURE_RATE);
      scheduler.scheduleAfter(
          fails ? 2_000 : SERVICE_MICROS, () -> onResponse(target, !fails, idempotent, attempt));
    }

    private void onStall(int target, boolean idempotent, int attempt) {
      boolean isUrgent = riskLevel(target) != FailureRisk.RiskLevel.HIGH;
      risks.recordUnreachable(Deployment.targetId(target), scheduler.now());
      broadcast(
          isUrgent,
          peer -> peer.risks.recordPeerUnreachable(Deployment.targetId(target), scheduler.now()));
      finish(target, false, idempotent, attempt);
    }

    private void onResponse(int target, boolean served, boolean idempotent, int attempt) {
      TargetId id = Deployment.targetId(target);
      if (served) {
        boolean isUrgent = riskLevel(target) != FailureRisk.RiskLevel.LOW;
        risks.recordSuccess(id, scheduler.now());
        poolLoad.recordCompletions(id, 1, scheduler.now());
        poolLoad.recordDuration(pool.id(), Duration.ofNanos(SERVICE_MICROS * 1_000));
        broadcast(
            isUrgent,
            peer -> {
              peer.risks.recordPeerSuccesses(id, 1, scheduler.now());
              peer.poolLoad.recordCompletions(id, 1, scheduler.now());
            });
      } else {
        lastFailureMicros[target] = scheduler.timeMicros();
        boolean isUrgent = riskLevel(target) != FailureRisk.RiskLevel.HIGH;
        risks.recordFailure(id, scheduler.now());
        broadcast(isUrgent, peer -> peer.risks.recordFailure(id, scheduler.now()));
      }
      finish(target, served, idempotent, attempt);
    }

    private FailureRisk.RiskLevel riskLevel(int target) {
      return risks.riskLevel(Deployment.targetId(target), scheduler.now());
    }

    private void broadcast(boolean isUrgent, Consumer<SimulatedInstance> update) {
      long delay = isUrgent ? PEER_DELAY_MICROS : random.nextLong(BATCH_MICROS);
      scheduler.scheduleAfter(
          delay,
          () -> {
            for (SimulatedInstance peer : instances) {
              if (peer != this) {
                update.accept(peer);
              }
            }
          });
    }

    private void finish(int target, boolean served, boolean idempotent, int attempt) {
      TargetId id = Deployment.targetId(target);
      inFlight.onAttemptEnded(id);
      if (!served && idempotent && attempt < MAX_ATTEMPTS) {
        send(true, attempt + 1, Optional.of(id));
      } else {
        ends.add(new End(scheduler.timeMicros(), served));
      }
    }
  }
}
