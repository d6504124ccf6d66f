package org.bergamotcross.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.InFlightCounts;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.core.routing.PoolPressure;
import org.bergamotcross.core.routing.PoolReport;
import org.bergamotcross.core.routing.RetryDecision;
import org.bergamotcross.core.routing.RetryPolicy;
import org.bergamotcross.core.routing.RouteLatency;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.ShedPolicy;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.core.routing.TargetChooser;
import org.bergamotcross.core.routing.TargetNotices;
import org.bergamotcross.core.routing.UsualDuration;
import org.bergamotcross.core.routing.WaitQueue;
import org.bergamotcross.kernel.ClockReading;

/**
 * Simulates a {@link CompetitionLoad} on instances that learn the outcomes of the others after a
 * delay, and counts what the callers got.
 */
final class CompetitionSimulation {
  /** The compared policies. */
  enum Policy {
    /** The decisions of {@code [scheduling] policy = deadline}. */
    DEADLINE("deadline"),
    /** The decisions of {@code [scheduling] policy = fair}. */
    FAIR("fair"),
    /** First come, first served, with two random choices. */
    RANDOM_TWO("random-two"),
    /** Knows the state of each target; nothing is sent unless it runs at once. */
    ALL_KNOWING("all-knowing");

    private final String reportName;

    Policy(String reportName) {
      this.reportName = reportName;
    }

    String reportName() {
      return reportName;
    }
  }

  /** The assumptions of the placing of requests, which the report varies. */
  record Placing(FailureRisk.Assumptions risk, TargetChooser.Limits limits, double maxWaitShare) {
    static final Placing DEFAULT =
        new Placing(
            FailureRisk.Assumptions.DEFAULT,
            TargetChooser.Limits.DEFAULT,
            PoolPressure.MAX_WAIT_SHARE);
  }

  private static final double FAILURE_RATE = 0.85;
  private static final double SOUND_FAILURE_RATE = 0.012;
  private static final double MEAN_FAILING_SECONDS = 2.7;
  private static final double SLOW_FACTOR = 4;
  private static final double SERVICE_SIGMA = 0.4;
  private static final long ERROR_MICROS = 2_000;
  private static final long BATCH_MICROS = 1_500_000;
  private static final long MIN_PEER_DELAY_MICROS = 50_000;
  private static final long MAX_PEER_DELAY_MICROS = 150_000;
  private static final long REPORT_INTERVAL_MICROS = 500_000;
  private static final long QUEUE_TICK_MICROS = 10_000;
  private static final int QUEUE_CAPACITY = 512;
  private static final int MAX_ATTEMPTS = 3;
  private static final int HELD_DIVISOR = 8;
  private static final RetryPolicy.BudgetLimits RETRY_LIMITS =
      new RetryPolicy.BudgetLimits(0.2, 186);
  private static final HealthView HEALTHY = new HealthView(Map.of());

  private final CompetitionLoad load;
  private final Policy policy;
  private final Placing placing;
  private final Deployment deployment;
  private final Pool pool;
  private final UniformRandomProvider random;
  // Apart from the other random numbers, so that all policies meet the same arrivals and faults.
  private final UniformRandomProvider environment;
  private final EventScheduler scheduler = new EventScheduler();
  private final SimulatedTarget[] targets;
  private final boolean[] failing;
  private final boolean[] slow;
  private final List<SimulatedInstance> instances = new ArrayList<>();
  private final AllKnowingQueue allKnowing = new AllKnowingQueue();
  private final CompetitionResult result = new CompetitionResult();
  private long requestCount;

  private CompetitionSimulation(CompetitionLoad load, Policy policy, Placing placing, long seed) {
    this.load = load;
    this.policy = policy;
    this.placing = placing;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.environment = RandomSource.XO_RO_SHI_RO_128_PP.create(-seed);
    this.deployment = new Deployment(load.name(), 3, load.instances(), load.targets(), 1_400);
    Pool sized = deployment.createPool();
    this.pool = new Pool(sized.id(), sized.minInUseFraction(), load.slots(), sized.targets());
    this.targets = new SimulatedTarget[load.targets()];
    this.failing = new boolean[load.targets()];
    this.slow = new boolean[load.targets()];
    for (int i = 0; i < load.targets(); i++) {
      targets[i] = new SimulatedTarget(scheduler, load.slots(), load.queueLimit());
    }
    for (int i = 0; i < load.instances(); i++) {
      instances.add(new SimulatedInstance(i, seed * 1_000 + i));
    }
  }

  /** Simulates a load to its end. */
  static CompetitionResult run(CompetitionLoad load, Policy policy, Placing placing, long seed) {
    return new CompetitionSimulation(load, policy, placing, seed).run();
  }

  private CompetitionResult run() {
    for (int target = 0; target < load.targets(); target++) {
      failing[target] = environment.nextDouble() < load.failingShare();
      slow[target] = environment.nextDouble() < load.slowShare();
      scheduleChange(target);
    }
    for (RequestKind kind : load.kinds()) {
      for (int organisation = 0; organisation < load.organisations(); organisation++) {
        scheduleArrival(kind, organisation);
      }
    }
    scheduler.runUntil(CompetitionLoad.DURATION_SECONDS * 1_000_000L);
    return result;
  }

  private long exponentialMicros(double meanSeconds) {
    return (long) (-Math.log(1 - environment.nextDouble()) * meanSeconds * 1e6);
  }

  private void scheduleChange(int target) {
    double sound = MEAN_FAILING_SECONDS * (1 - load.failingShare()) / load.failingShare();
    scheduler.scheduleAfter(
        exponentialMicros(failing[target] ? MEAN_FAILING_SECONDS : sound),
        () -> {
          failing[target] = !failing[target];
          scheduleChange(target);
        });
  }

  /** Draws arrivals at the highest rate and drops those above the present one. */
  private void scheduleArrival(RequestKind kind, int organisation) {
    double highest =
        Math.max(
            load.rate(organisation, kind, CompetitionLoad.WAVE_START_SECONDS * 1_000_000L),
            load.rate(organisation, kind, 0));
    scheduler.scheduleAfter(
        exponentialMicros(1 / highest),
        () -> {
          scheduleArrival(kind, organisation);
          double rate = load.rate(organisation, kind, scheduler.timeMicros());
          if (environment.nextDouble() * highest < rate) {
            SimulatedRequest request = new SimulatedRequest(kind, organisation);
            instances.get(random.nextInt(instances.size())).accept(request);
          }
        });
  }

  private long peerDelayMicros() {
    return MIN_PEER_DELAY_MICROS + random.nextLong(MAX_PEER_DELAY_MICROS - MIN_PEER_DELAY_MICROS);
  }

  private long serviceMicros(RequestKind kind, int target) {
    double gaussian =
        Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    double factor = Math.exp(SERVICE_SIGMA * gaussian - SERVICE_SIGMA * SERVICE_SIGMA / 2);
    boolean isSlow = slow[target] && CompetitionLoad.isWave(scheduler.timeMicros());
    return (long) (kind.serviceMillis() * 1_000 * factor * (isSlow ? SLOW_FACTOR : 1));
  }

  private final class SimulatedRequest {
    private final String id = "r" + requestCount++;
    private final RequestKind kind;
    private final int organisation;
    private final long arrivalMicros = scheduler.timeMicros();
    private final ClockReading deadline;
    private Optional<TargetId> previous = Optional.empty();
    private boolean mayHaveRun;
    private boolean isReturn;
    private boolean isFinished;
    private int attempts;

    SimulatedRequest(RequestKind kind, int organisation) {
      this.kind = kind;
      this.organisation = organisation;
      this.deadline = scheduler.now().plus(Duration.ofMillis(kind.timeoutMillis()));
    }

    private long ageMicros() {
      return scheduler.timeMicros() - arrivalMicros;
    }

    void serve() {
      boolean onTime = ageMicros() <= kind.objectiveMillis() * 1_000L;
      finish(onTime ? CompetitionResult.End.ON_TIME : CompetitionResult.End.LATE);
    }

    /** Ends the request without a response of a target. */
    void giveUp() {
      if (!isFinished
          && attempts == 0
          && ageMicros() > kind.objectiveMillis() * 1_000L / HELD_DIVISOR) {
        result.addRefusedLate();
      }
      finish(mayHaveRun ? CompetitionResult.End.FAILED : CompetitionResult.End.REFUSED);
    }

    private void finish(CompetitionResult.End end) {
      if (!isFinished) {
        isFinished = true;
        result.add(kind, organisation, end);
      }
    }
  }

  /** An instance that decides as the routing duty does. */
  private final class SimulatedInstance {
    private final int index;
    private final FailureRisk risks = new FailureRisk(placing.risk());
    private final PoolLoad poolLoad = new PoolLoad();
    private final InFlightCounts inFlight = new InFlightCounts();
    private final RouteLatency latency = new RouteLatency();
    private final UniformRandomProvider ownRandom;
    private final TargetNotices notices;
    private final TargetChooser chooser;
    private final RetryPolicy retries;
    private final WaitQueue<SimulatedRequest> queue = new WaitQueue<>(QUEUE_CAPACITY);
    private final UsualDuration usual = new UsualDuration();
    private final PoolPressure pressure;
    private final ShedPolicy shedding;
    private PoolReport report = PoolReport.EMPTY;
    private boolean isTickScheduled;

    SimulatedInstance(int index, long seed) {
      this.index = index;
      this.ownRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      this.notices = new TargetNotices(ownRandom);
      this.retries = new RetryPolicy(ownRandom, RETRY_LIMITS);
      this.chooser =
          new TargetChooser(
              deployment.failureDomain(index),
              inFlight,
              risks,
              poolLoad,
              notices,
              ownRandom,
              placing.limits());
      this.pressure =
          new PoolPressure(load.targets() * load.slots(), placing.maxWaitShare(), scheduler.now());
      this.shedding = new ShedPolicy(ownRandom);
      retries.updateInstanceCount(load.instances());
      if (policy == Policy.FAIR) {
        scheduler.scheduleAfter(ownRandom.nextLong(REPORT_INTERVAL_MICROS), this::sendReport);
      }
      risks.retainTargets(
          IntStream.range(0, load.targets()).mapToObj(Deployment::targetId).toList(),
          scheduler.now());
    }

    void accept(SimulatedRequest request) {
      retries.onRequest(pool.id());
      scheduler.scheduleAfter(request.kind.timeoutMillis() * 1_000L, request::giveUp);
      offer(request);
    }

    /** Refuses a request, which comes back once if there is time, or dispatches it. */
    private void offer(SimulatedRequest request) {
      if (request.isFinished) {
        return;
      }
      if (policy == Policy.FAIR && decide(request) instanceof ShedPolicy.Decision.Refuse refuse) {
        if (request.isReturn) {
          request.finish(CompetitionResult.End.REFUSED);
        } else {
          request.isReturn = true;
          scheduler.scheduleAfter(
              refuse.retryAfter().toNanos() / 1_000,
              () -> instances.get(random.nextInt(instances.size())).offer(request));
        }
        return;
      }
      dispatch(request);
    }

    private ShedPolicy.Decision decide(SimulatedRequest request) {
      RequestKind kind = request.kind;
      long usualMillis = usual.of(kind.name()).map(Duration::toMillis).orElse(0L);
      addToReport(new PoolReport(0, 0, 0, 0, Map.of(kind.priority(), usualMillis)));
      pressure.recordSlack(kind.name(), Duration.ofMillis(kind.objectiveMillis() - usualMillis));
      return shedding.decide(
          pressure.share(kind.priority()),
          new OrganisationId("org/" + request.organisation),
          kind.priority(),
          request.deadline.since(scheduler.now()));
    }

    private void addToReport(PoolReport part) {
      report = report.plus(part);
    }

    private void sendReport() {
      PoolReport sent = report;
      report = PoolReport.EMPTY;
      pressure.updateSoundSlots(
          load.slots()
              * pool.targets().stream()
                  .mapToDouble(target -> 1 - risks.risk(target.id(), scheduler.now()))
                  .sum());
      pressure.add(sent, scheduler.now());
      scheduler.scheduleAfter(
          peerDelayMicros(),
          () ->
              instances.stream()
                  .filter(peer -> peer != this)
                  .forEach(peer -> peer.pressure.add(sent, scheduler.now())));
      scheduler.scheduleAfter(REPORT_INTERVAL_MICROS, this::sendReport);
    }

    private void dispatch(SimulatedRequest request) {
      if (request.isFinished) {
        return;
      }
      if (policy == Policy.ALL_KNOWING) {
        allKnowing.add(this, request);
      } else if (queue.size() > 0 || !sendOrRefuse(request)) {
        WaitQueue.OfferResult offer =
            queue.offer(
                request.id,
                new OrganisationId("org/" + request.organisation),
                request.kind.priority(),
                request.deadline,
                request);
        if (!(offer instanceof WaitQueue.OfferResult.Queued)) {
          request.giveUp();
        }
        serveQueue();
      }
    }

    private void serveQueue() {
      queue.removeExpired(scheduler.now());
      while (queue.peek().filter(this::sendOrRefuse).isPresent()) {
        queue.poll();
      }
      if (queue.size() > 0 && !isTickScheduled) {
        isTickScheduled = true;
        scheduler.scheduleAfter(
            QUEUE_TICK_MICROS,
            () -> {
              isTickScheduled = false;
              serveQueue();
            });
      }
    }

    private boolean sendOrRefuse(SimulatedRequest request) {
      return switch (choose(request)) {
        case TargetChoice.Chosen chosen -> {
          send(request, index(chosen.target().id()));
          yield true;
        }
        case TargetChoice.AllBusy ignored -> false;
        case TargetChoice.AllPaused ignored -> false;
        case TargetChoice.NoneAvailable ignored -> {
          request.giveUp();
          yield true;
        }
      };
    }

    private TargetChoice choose(SimulatedRequest request) {
      if (policy == Policy.RANDOM_TWO) {
        Target one = pool.targets().get(ownRandom.nextInt(load.targets()));
        Target other = pool.targets().get(ownRandom.nextInt(load.targets()));
        Target less = inFlight.own(one.id()) <= inFlight.own(other.id()) ? one : other;
        return new TargetChoice.Chosen(less, TargetChoice.Reason.FEWEST_IN_FLIGHT, 0);
      }
      return chooser.choose(
          pool, HEALTHY, request.kind.idempotent(), request.previous, scheduler.now());
    }

    void send(SimulatedRequest request, int target) {
      TargetId id = Deployment.targetId(target);
      request.attempts++;
      request.previous = Optional.of(id);
      inFlight.onAttemptStarted(id);
      Attempt attempt = new Attempt(this, request, target);
      scheduler.scheduleAfter(deployment.oneWayMicros(index, target), attempt::arrive);
      scheduler.scheduleAfter(
          latency.stallThreshold(request.kind.name()).toNanos() / 1_000, attempt::onStall);
      scheduler.scheduleAfter(
          request.deadline.monotonicNanos() / 1_000 - scheduler.timeMicros(), attempt::cancel);
    }

    private void onEnd(Attempt attempt, SendResult sendResult) {
      ClockReading now = scheduler.now();
      SimulatedRequest request = attempt.request;
      TargetId id = Deployment.targetId(attempt.target);
      inFlight.onAttemptEnded(id);
      switch (sendResult) {
        case SendResult.Completed completed -> record(attempt, completed.status(), now);
        case SendResult.Shed ignored -> {
          addToReport(new PoolReport(0, 0, 0, 1, Map.of()));
          notices.onRejected(id, Optional.empty(), now);
        }
        default -> {}
      }
      RetryDecision decision =
          retries.decide(
              new RetryPolicy.EndedAttempt(
                  pool.id(),
                  id,
                  request.attempts,
                  MAX_ATTEMPTS,
                  request.kind.idempotent()
                      ? RetryPolicy.Repeatability.IDEMPOTENT
                      : RetryPolicy.Repeatability.ONLY_IF_NOT_RUN,
                  request.mayHaveRun,
                  request.deadline),
              sendResult,
              now);
      request.mayHaveRun |= RetryPolicy.mayHaveRun(sendResult);
      switch (decision) {
        case RetryDecision.Retry retry ->
            scheduler.scheduleAfter(retry.delay().toNanos() / 1_000, () -> dispatch(request));
        case RetryDecision.Deliver ignored -> {
          if (sendResult instanceof SendResult.Completed completed && completed.status() < 500) {
            request.serve();
          } else {
            request.giveUp();
          }
        }
        case RetryDecision.GiveUp ignored -> request.giveUp();
        case RetryDecision.Drop ignored -> request.giveUp();
      }
      serveQueue();
    }

    private void record(Attempt attempt, int status, ClockReading now) {
      TargetId id = Deployment.targetId(attempt.target);
      if (status >= 500) {
        boolean isUrgent = risks.riskLevel(id, now) != FailureRisk.RiskLevel.HIGH;
        risks.recordFailure(id, now);
        broadcast(isUrgent, peer -> peer.risks.recordFailure(id, scheduler.now()));
        return;
      }
      boolean isUrgent = risks.riskLevel(id, now) != FailureRisk.RiskLevel.LOW;
      Duration duration = Duration.ofNanos((scheduler.timeMicros() - attempt.startMicros) * 1_000);
      usual.record(attempt.request.kind.name(), duration);
      long usualMillis = usual.of(attempt.request.kind.name()).orElseThrow().toMillis();
      addToReport(
          new PoolReport(
              1,
              pressure.isTooLong(duration.minusMillis(usualMillis)) ? 1 : 0,
              usualMillis,
              0,
              Map.of()));
      risks.recordSuccess(id, now);
      latency.recordLatency(attempt.request.kind.name(), duration);
      poolLoad.recordDuration(pool.id(), duration);
      poolLoad.recordCompletions(id, 1, now);
      broadcast(
          isUrgent,
          peer -> {
            peer.risks.recordPeerSuccesses(id, 1, scheduler.now());
            peer.poolLoad.recordCompletions(id, 1, scheduler.now());
          });
    }

    private void recordStall(int target) {
      TargetId id = Deployment.targetId(target);
      boolean isUrgent = risks.riskLevel(id, scheduler.now()) != FailureRisk.RiskLevel.HIGH;
      risks.recordUnreachable(id, scheduler.now());
      broadcast(isUrgent, peer -> peer.risks.recordPeerUnreachable(id, scheduler.now()));
    }

    private void broadcast(boolean isUrgent, Consumer<SimulatedInstance> update) {
      if (policy == Policy.ALL_KNOWING || policy == Policy.RANDOM_TWO) {
        return;
      }
      long delay = peerDelayMicros() + (isUrgent ? 0 : random.nextLong(BATCH_MICROS));
      scheduler.scheduleAfter(
          delay, () -> instances.stream().filter(peer -> peer != this).forEach(update));
    }
  }

  private static int index(TargetId id) {
    return Integer.parseInt(id.value().substring(1));
  }

  private final class Attempt {
    private final SimulatedInstance instance;
    private final SimulatedRequest request;
    private final int target;
    private final long startMicros = scheduler.timeMicros();
    private Optional<SimulatedTarget.Job> job = Optional.empty();
    private boolean isEnded;

    Attempt(SimulatedInstance instance, SimulatedRequest request, int target) {
      this.instance = instance;
      this.request = request;
      this.target = target;
    }

    void arrive() {
      if (isEnded) {
        return;
      }
      double failureRate = failing[target] ? FAILURE_RATE : SOUND_FAILURE_RATE;
      if (random.nextDouble() < failureRate) {
        scheduler.scheduleAfter(ERROR_MICROS, () -> end(new SendResult.Completed(500, false)));
      } else if (targets[target].isFull()) {
        end(new SendResult.Shed(Optional.empty(), false));
      } else {
        SimulatedTarget.Job running =
            new SimulatedTarget.Job(
                serviceMicros(request.kind, target),
                () -> {
                  end(new SendResult.Completed(200, false));
                  allKnowing.serveAfterRelease();
                });
        job = Optional.of(running);
        targets[target].accept(running);
      }
    }

    void onStall() {
      if (isEnded || policy == Policy.ALL_KNOWING || policy == Policy.RANDOM_TWO) {
        return;
      }
      if (policy == Policy.FAIR && instance.pressure.isLimited()) {
        return;
      }
      instance.recordStall(target);
      if (request.kind.idempotent() && request.attempts < MAX_ATTEMPTS) {
        cancelJob();
        end(new SendResult.Broken());
      }
    }

    void cancel() {
      if (!isEnded) {
        cancelJob();
        end(new SendResult.TimedOut());
      }
    }

    private void cancelJob() {
      job.ifPresent(targets[target]::cancel);
      allKnowing.serveAfterRelease();
    }

    private void end(SendResult sendResult) {
      if (!isEnded) {
        isEnded = true;
        allKnowing.onEnd(target);
        instance.onEnd(this, sendResult);
      }
    }
  }

  /** One queue for all instances that sends only to sound targets with a free slot. */
  private final class AllKnowingQueue {
    private record Waiting(SimulatedInstance instance, SimulatedRequest request) {}

    private final List<Waiting> waiting = new ArrayList<>();
    private final Map<Integer, Integer> sent = new HashMap<>();
    private final Map<Integer, Long> servedAt = new HashMap<>();

    void add(SimulatedInstance instance, SimulatedRequest request) {
      waiting.add(new Waiting(instance, request));
      serve();
    }

    void onEnd(int target) {
      sent.merge(target, -1, Integer::sum);
    }

    void serveAfterRelease() {
      if (policy == Policy.ALL_KNOWING) {
        scheduler.scheduleAfter(0, this::serve);
      }
    }

    private void serve() {
      waiting.removeIf(entry -> entry.request().isFinished);
      Optional<Integer> target = freeTarget();
      while (target.isPresent() && !waiting.isEmpty()) {
        Waiting next = waiting.stream().min(this::compare).orElseThrow();
        waiting.remove(next);
        sent.merge(target.get(), 1, Integer::sum);
        servedAt.put(next.request().organisation, requestCount * 1_000 + waiting.size());
        next.instance().send(next.request(), target.get());
        target = freeTarget();
      }
    }

    private Optional<Integer> freeTarget() {
      return IntStream.range(0, load.targets())
          .filter(t -> !failing[t] && sent.getOrDefault(t, 0) < load.slots())
          .boxed()
          .min(
              (one, other) ->
                  Boolean.compare(slow[one], slow[other]) != 0
                      ? Boolean.compare(slow[one], slow[other])
                      : sent.getOrDefault(one, 0) - sent.getOrDefault(other, 0));
    }

    private int compare(Waiting one, Waiting other) {
      int byLateness = Boolean.compare(isLate(one), isLate(other));
      if (byLateness != 0) {
        return byLateness;
      }
      int byPriority = one.request().kind.priority() - other.request().kind.priority();
      if (byPriority != 0) {
        return byPriority;
      }
      return Long.compare(
          servedAt.getOrDefault(one.request().organisation, 0L),
          servedAt.getOrDefault(other.request().organisation, 0L));
    }

    private boolean isLate(Waiting entry) {
      RequestKind kind = entry.request().kind;
      return entry.request().ageMicros() > (kind.objectiveMillis() - kind.serviceMillis()) * 1_000L;
    }
  }
}
