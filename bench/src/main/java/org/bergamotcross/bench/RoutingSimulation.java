package org.bergamotcross.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.routing.PoolHealthReport;
import org.bergamotcross.core.routing.RetryDecision;
import org.bergamotcross.core.routing.RetryPolicy;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.core.routing.WaitQueue;
import org.bergamotcross.kernel.ClockReading;

/** Discrete-event simulation of one scenario on one pool, with the same policy on all instances. */
final class RoutingSimulation {
  private static final long TICK_INTERVAL_MICROS = 50_000;
  private static final long IN_FLIGHT_REPORT_INTERVAL_MICROS = 500_000;
  private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
  private static final int QUEUE_CAPACITY = 256;
  private static final double IDEMPOTENT_SHARE = 0.8;
  private static final double LARGE_ORGANISATION_SHARE = 0.3;
  private static final double SERVICE_TIME_SIGMA = 0.5;

  private final Deployment deployment;
  private final Scenario scenario;
  private final Pool pool;
  private final PoolId poolId;
  private final UniformRandomProvider random;
  private final EventScheduler scheduler = new EventScheduler();
  private final List<SimulatedTarget> targets = new ArrayList<>();
  private final List<SimulatedInstance> instances = new ArrayList<>();
  private final RoutingRunResult result = new RoutingRunResult();
  private long firstFaultySendMicros = -1;
  private long lastFaultySendMicros = -1;
  private SimulatedInstance firstAffectedInstance;
  private boolean detectedLocally;
  private boolean detectedFleetWide;
  private long requestCount;

  private RoutingSimulation(
      Deployment deployment, Scenario scenario, RoutingPolicy.Kind kind, long seed) {
    this.deployment = deployment;
    this.scenario = scenario;
    this.pool = deployment.createPool();
    this.poolId = pool.id();
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < deployment.targets(); i++) {
      targets.add(new SimulatedTarget(scheduler));
    }
    for (int i = 0; i < deployment.instances(); i++) {
      instances.add(new SimulatedInstance(i, createPolicy(kind, i, seed)));
    }
  }

  /** Simulates a scenario to its end and returns the measurements. */
  static RoutingRunResult run(
      Deployment deployment, Scenario scenario, RoutingPolicy.Kind kind, long seed) {
    return new RoutingSimulation(deployment, scenario, kind, seed).run();
  }

  private RoutingPolicy createPolicy(RoutingPolicy.Kind kind, int instance, long seed) {
    return switch (kind) {
      case HEALTH_BASED ->
          new HealthRoutingPolicy(
              instanceId(instance),
              deployment.failureDomain(instance),
              pool,
              RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000 + instance),
              scheduler.now());
      case ROUND_ROBIN -> new RoundRobinRoutingPolicy(pool, false, instance);
      case CONSECUTIVE_FAILURES -> new RoundRobinRoutingPolicy(pool, true, instance);
    };
  }

  private static InstanceId instanceId(int instance) {
    return new InstanceId("entry-" + instance);
  }

  private RoutingRunResult run() {
    instances.forEach(
        instance -> scheduler.scheduleAfter(random.nextLong(TICK_INTERVAL_MICROS), instance::tick));
    instances.forEach(
        instance ->
            scheduler.scheduleAfter(
                random.nextLong(IN_FLIGHT_REPORT_INTERVAL_MICROS), instance::sendInFlightAverages));
    scheduleArrival();
    long end = scenario.durationSeconds() * 1_000_000L;
    scheduler.runUntil(end);
    recordDetection(end);
    return result;
  }

  private void recordDetection(long end) {
    if (firstFaultySendMicros < 0) {
      return;
    }
    if (!detectedFleetWide) {
      result.undetectedRuns++;
    }
    boolean stillSending = end - lastFaultySendMicros < REQUEST_TIMEOUT_MICROS;
    result.lastFaultySendMillis.add(
        ((stillSending ? end : lastFaultySendMicros) - firstFaultySendMicros) / 1_000);
  }

  private void scheduleArrival() {
    double gapMicros =
        -Math.log(1 - random.nextDouble())
            * 1_000_000
            / scenario.offeredLoad().applyAsDouble(deployment);
    scheduler.scheduleAfter((long) gapMicros, this::handleArrival);
  }

  private void handleArrival() {
    scheduleArrival();
    SimulatedInstance instance = instances.get(pickInstance());
    if (!instance.isLost()) {
      instance.handleRequest(
          new SimulatedRequest(pickOrganisation(), random.nextDouble() < IDEMPOTENT_SHARE));
    }
  }

  private int pickInstance() {
    if (scenario.unevenLoad() && random.nextDouble() < 0.4) {
      return 0;
    }
    int instance = random.nextInt(deployment.instances());
    while (instances.get(instance).isLost()) {
      instance = random.nextInt(deployment.instances());
    }
    return instance;
  }

  /** Picks the sender: two large organisations send 30 % each, six small ones the rest. */
  private int pickOrganisation() {
    double sample = random.nextDouble();
    if (sample < 2 * LARGE_ORGANISATION_SHARE) {
      return sample < LARGE_ORGANISATION_SHARE ? 0 : 1;
    }
    return 2 + random.nextInt(RoutingRunResult.ORGANISATION_COUNT - 2);
  }

  private long serviceMicros(double factor) {
    double logNormal =
        Math.exp(SERVICE_TIME_SIGMA * nextGaussian() - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2);
    double sizeFactor = scenario.unevenLoad() && random.nextInt(10) == 0 ? 10 : 1;
    return (long) (Scenario.MEAN_SERVICE_MICROS * logNormal * sizeFactor * factor);
  }

  private double nextGaussian() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  /** A request of a caller, with its attempts. */
  private final class SimulatedRequest {
    private final String id = "r" + requestCount++;
    private final int organisation;
    private final boolean idempotent;
    private final long arrivalMicros = scheduler.timeMicros();
    private final ClockReading deadline =
        scheduler.now().plus(Duration.ofNanos(REQUEST_TIMEOUT_MICROS * 1_000));
    private final boolean isMeasured = arrivalMicros >= Scenario.FAULT_START_MICROS;
    private Optional<TargetId> previousTarget = Optional.empty();
    private boolean mayHaveRun;
    private boolean isFinished;
    private int attempts;

    SimulatedRequest(int organisation, boolean idempotent) {
      this.organisation = organisation;
      this.idempotent = idempotent;
    }

    void finish(boolean succeeded, boolean mayHaveExecuted) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      if (!isMeasured) {
        return;
      }
      // Counting here excludes requests that are unfinished when the run ends.
      result.finishedRequests[organisation]++;
      if (succeeded) {
        result.servedRequests[organisation]++;
        result.latencyMicros.recordValue(scheduler.timeMicros() - arrivalMicros);
      } else if (mayHaveExecuted) {
        result.failed++;
      } else {
        result.refused++;
      }
    }
  }

  /** An entry instance with its routing policy, retry policy and wait queue. */
  private final class SimulatedInstance {
    private final int instanceIndex;
    private final RoutingPolicy policy;
    private final RetryPolicy retryPolicy;
    private final WaitQueue<SimulatedRequest> queue = new WaitQueue<>(QUEUE_CAPACITY);

    SimulatedInstance(int instanceIndex, RoutingPolicy policy) {
      this.instanceIndex = instanceIndex;
      this.policy = policy;
      this.retryPolicy =
          new RetryPolicy(RandomSource.XO_RO_SHI_RO_128_PP.create(instanceIndex + 77));
    }

    boolean isLost() {
      return scheduler.timeMicros() >= Scenario.FAULT_START_MICROS
          && scenario.lostDomain() == deployment.domainIndex(instanceIndex);
    }

    void handleRequest(SimulatedRequest request) {
      retryPolicy.onRequest(poolId);
      dispatch(request);
    }

    private void dispatch(SimulatedRequest request) {
      if (queue.size() > 0 || !sendOrRefuse(request)) {
        WaitQueue.OfferResult offer =
            queue.offer(
                request.id,
                new OrganisationId("team/" + request.organisation),
                request.deadline,
                request);
        if (!(offer instanceof WaitQueue.OfferResult.Queued)) {
          request.finish(false, request.mayHaveRun);
        }
        serveQueue();
      }
    }

    private void serveQueue() {
      queue
          .removeExpired(scheduler.now())
          .forEach(request -> request.finish(false, request.mayHaveRun));
      while (queue.peek().filter(this::sendOrRefuse).isPresent()) {
        queue.poll();
      }
    }

    /** Tries to send a request; returns false if it must wait for a free slot. */
    private boolean sendOrRefuse(SimulatedRequest request) {
      TargetChoice choice =
          policy.choose(request.idempotent, request.previousTarget, scheduler.now());
      return switch (choice) {
        case TargetChoice.Chosen chosen -> {
          sendAttempt(request, chosen);
          yield true;
        }
        case TargetChoice.AllBusy ignored -> false;
        case TargetChoice.AllPaused ignored -> false;
        case TargetChoice.NoneAvailable ignored -> {
          request.finish(false, request.mayHaveRun);
          yield true;
        }
      };
    }

    private void sendAttempt(SimulatedRequest request, TargetChoice.Chosen chosen) {
      int target = pool.targets().indexOf(chosen.target());
      request.attempts++;
      request.previousTarget = Optional.of(chosen.target().id());
      SimulatedAttempt attempt = new SimulatedAttempt(this, request, target);
      recordSend(target, chosen.trial());
      policy.onAttemptStarted(attempt.id, chosen.target().id(), scheduler.now());
      scheduler.scheduleAfter(
          deployment.oneWayMicros(instanceIndex, target), attempt::arriveAtTarget);
      scheduler.scheduleAfter(
          request.deadline.monotonicNanos() / 1_000 - scheduler.timeMicros(), attempt::timeOut);
      sendHealthReport();
    }

    private void recordSend(int target, boolean trial) {
      if (scenario.isFaulty(deployment, instanceIndex, target, scheduler.timeMicros()) && !trial) {
        if (firstFaultySendMicros < 0) {
          firstFaultySendMicros = scheduler.timeMicros();
          firstAffectedInstance = this;
        }
        lastFaultySendMicros = scheduler.timeMicros();
      }
    }

    private void onAttemptEnded(SimulatedAttempt attempt, SendResult sendResult) {
      ClockReading now = scheduler.now();
      SimulatedRequest request = attempt.request;
      TargetId target = Deployment.targetId(attempt.target);
      Duration duration = Duration.ofNanos((scheduler.timeMicros() - attempt.startMicros) * 1_000);
      policy.onAttemptEnded(attempt.id, target, sendResult, duration, now);
      RetryDecision decision =
          retryPolicy.decide(
              new RetryPolicy.EndedAttempt(
                  poolId,
                  target,
                  request.attempts,
                  Route.Limits.DEFAULT_ATTEMPTS,
                  request.idempotent
                      ? RetryPolicy.Repeatability.IDEMPOTENT
                      : RetryPolicy.Repeatability.ONLY_IF_NOT_RUN,
                  request.mayHaveRun,
                  request.deadline),
              sendResult,
              now);
      request.mayHaveRun |= RetryPolicy.mayHaveRun(sendResult);
      applyRetryDecision(request, decision, sendResult);
      sendHealthReport();
      serveQueue();
    }

    private void applyRetryDecision(
        SimulatedRequest request, RetryDecision decision, SendResult sendResult) {
      switch (decision) {
        case RetryDecision.Retry retry -> {
          result.retries++;
          scheduler.scheduleAfter(retry.delay().toNanos() / 1_000, () -> dispatch(request));
        }
        case RetryDecision.GiveUp ignored -> request.finish(false, request.mayHaveRun);
        case RetryDecision.Deliver ignored ->
            request.finish(
                sendResult instanceof SendResult.Completed completed && completed.status() < 500,
                true);
        case RetryDecision.Drop ignored -> request.finish(false, true);
      }
    }

    void tick() {
      if (isLost()) {
        return;
      }
      for (TargetId ejected : policy.tick(scheduler.now())) {
        int target = Integer.parseInt(ejected.value().substring(1));
        if (!scenario.isFaulty(deployment, instanceIndex, target, scheduler.timeMicros())) {
          result.falseEjections++;
          result.falselyEjected.add(ejected.value());
        }
      }
      recordDetectionProgress();
      sendHealthReport();
      serveQueue();
      scheduler.scheduleAfter(TICK_INTERVAL_MICROS, this::tick);
    }

    private void recordDetectionProgress() {
      if (firstFaultySendMicros < 0 || detectedFleetWide) {
        return;
      }
      long millis = (scheduler.timeMicros() - firstFaultySendMicros) / 1_000;
      if (!detectedLocally && !firstAffectedInstance.policy.isAvailable(Deployment.targetId(0))) {
        detectedLocally = true;
        result.localDetectionMillis.add(millis);
      }
      if (instances.stream().allMatch(SimulatedInstance::avoidsFaultyTargets)) {
        detectedFleetWide = true;
        result.fleetDetectionMillis.add(millis);
      }
    }

    private boolean avoidsFaultyTargets() {
      for (int target = 0; target < deployment.targets(); target++) {
        if (!isLost()
            && scenario.isFaulty(deployment, instanceIndex, target, scheduler.timeMicros())
            && policy.isAvailable(Deployment.targetId(target))) {
          return false;
        }
      }
      return true;
    }

    private void sendHealthReport() {
      Optional<PoolHealthReport> report = policy.takeDueHealthReport(scheduler.now());
      report.ifPresent(
          r -> sendToPeers(peer -> peer.policy.onPeerHealthReport(r, scheduler.now())));
    }

    void sendInFlightAverages() {
      if (isLost()) {
        return;
      }
      Map<TargetId, Double> averages = policy.takeDueInFlightAverages(scheduler.now());
      if (!averages.isEmpty()) {
        sendToPeers(
            peer ->
                peer.policy.onPeerInFlightAverages(
                    instanceId(instanceIndex), averages, scheduler.now()));
      }
      scheduler.scheduleAfter(IN_FLIGHT_REPORT_INTERVAL_MICROS, this::sendInFlightAverages);
    }

    private void sendToPeers(Consumer<SimulatedInstance> delivery) {
      for (SimulatedInstance peer : instances) {
        if (peer != this && !peer.isLost()) {
          scheduler.scheduleAfter(
              deployment.oneWayMicros(instanceIndex, peer.instanceIndex),
              () -> delivery.accept(peer));
        }
      }
    }
  }

  /** An attempt to execute a request at a target. */
  private final class SimulatedAttempt {
    private final SimulatedInstance instance;
    private final SimulatedRequest request;
    private final int target;
    private final String id;
    private final long startMicros = scheduler.timeMicros();
    private Optional<SimulatedTarget.Job> job = Optional.empty();
    private boolean isFinished;

    SimulatedAttempt(SimulatedInstance instance, SimulatedRequest request, int target) {
      this.instance = instance;
      this.request = request;
      this.target = target;
      this.id = request.id + "/" + request.attempts;
    }

    void arriveAtTarget() {
      if (isFinished) {
        return;
      }
      AttemptEffect effect =
          scenario.effect(
              deployment, instance.instanceIndex, target, scheduler.timeMicros(), random);
      switch (effect) {
        case AttemptEffect.Slowdown slow -> runAtTarget(serviceMicros(slow.factor()), 200);
        case AttemptEffect.ServerError ignored -> runAtTarget(serviceMicros(1), 503);
        case AttemptEffect.Stall ignored ->
            runAtTarget(scenario.stallDurationMicros(scheduler.timeMicros()), 200);
        case AttemptEffect.MessageLoss ignored -> {}
      }
    }

    private void runAtTarget(long micros, int status) {
      SimulatedTarget.Job newJob =
          new SimulatedTarget.Job(
              micros,
              () ->
                  scheduler.scheduleAfter(
                      deployment.oneWayMicros(instance.instanceIndex, target),
                      () -> finish(new SendResult.Completed(status, false))));
      job = Optional.of(newJob);
      targets.get(target).accept(newJob);
    }

    void timeOut() {
      if (!isFinished) {
        scheduler.scheduleAfter(
            deployment.oneWayMicros(instance.instanceIndex, target),
            () -> job.ifPresent(j -> targets.get(target).cancel(j)));
        finish(new SendResult.TimedOut());
      }
    }

    private void finish(SendResult sendResult) {
      if (!isFinished && !instance.isLost()) {
        isFinished = true;
        instance.onAttemptEnded(this, sendResult);
      }
    }
  }
}
