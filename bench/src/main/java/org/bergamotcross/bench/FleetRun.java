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
import org.bergamotcross.kernel.Now;

/** One run of a scenario over one pool, with one policy on all instances. */
final class FleetRun {
  private static final long TICK_MICROS = 50_000;
  private static final long IN_FLIGHT_MICROS = 500_000;
  private static final long TIMEOUT_MICROS = 2_000_000;
  private static final int QUEUE = 256;
  private static final double IDEMPOTENT_SHARE = 0.8;
  private static final double LARGE_SHARE = 0.3;
  private static final double SIGMA = 0.5;

  private final Deployment deployment;
  private final Scenario scenario;
  private final Pool pool;
  private final PoolId poolId;
  private final UniformRandomProvider random;
  private final Simulation simulation = new Simulation();
  private final List<SimTarget> targets = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final RunResult result = new RunResult();
  private long firstFaultySend = -1;
  private long lastFaultySend = -1;
  private Node firstNode;
  private boolean detectedLocally;
  private boolean detectedEverywhere;
  private long requests;

  private FleetRun(Deployment deployment, Scenario scenario, InstancePolicy.Kind kind, long seed) {
    this.deployment = deployment;
    this.scenario = scenario;
    this.pool = deployment.pool();
    this.poolId = pool.id();
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < deployment.targets(); i++) {
      targets.add(new SimTarget(simulation));
    }
    for (int i = 0; i < deployment.instances(); i++) {
      nodes.add(new Node(i, policy(kind, i, seed)));
    }
  }

  /** Runs a scenario to its end. */
  static RunResult run(
      Deployment deployment, Scenario scenario, InstancePolicy.Kind kind, long seed) {
    return new FleetRun(deployment, scenario, kind, seed).run();
  }

  private InstancePolicy policy(InstancePolicy.Kind kind, int instance, long seed) {
    return switch (kind) {
      case CHOSEN ->
          new HealthPolicy(
              id(instance),
              deployment.domain(instance),
              pool,
              RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000 + instance),
              simulation.now());
      case ROUND_ROBIN -> new TurnPolicy(pool, false, instance);
      case CONSECUTIVE -> new TurnPolicy(pool, true, instance);
    };
  }

  private static InstanceId id(int instance) {
    return new InstanceId("entry-" + instance);
  }

  private RunResult run() {
    nodes.forEach(node -> simulation.in(random.nextLong(TICK_MICROS), node::tick));
    nodes.forEach(node -> simulation.in(random.nextLong(IN_FLIGHT_MICROS), node::tellInFlight));
    arriveLater();
    long end = scenario.seconds() * 1_000_000L;
    simulation.runUntil(end);
    noteDetection(end);
    return result;
  }

  private void noteDetection(long end) {
    if (firstFaultySend < 0) {
      return;
    }
    if (!detectedEverywhere) {
      result.undetected++;
    }
    boolean goesOn = end - lastFaultySend < TIMEOUT_MICROS;
    result.lastWorkMillis.add(((goesOn ? end : lastFaultySend) - firstFaultySend) / 1_000);
  }

  private void arriveLater() {
    double gap =
        -Math.log(1 - random.nextDouble()) * 1_000_000 / scenario.rate().applyAsDouble(deployment);
    simulation.in((long) gap, this::arrive);
  }

  private void arrive() {
    arriveLater();
    Node node = nodes.get(anyInstance());
    if (!node.isLost()) {
      node.accept(new Request(anyOrganisation(), random.nextDouble() < IDEMPOTENT_SHARE));
    }
  }

  private int anyInstance() {
    if (scenario.uneven() && random.nextDouble() < 0.4) {
      return 0;
    }
    int instance = random.nextInt(deployment.instances());
    while (nodes.get(instance).isLost()) {
      instance = random.nextInt(deployment.instances());
    }
    return instance;
  }

  /** Two large organisations send 30 % each, six small ones the rest. */
  private int anyOrganisation() {
    double draw = random.nextDouble();
    if (draw < 2 * LARGE_SHARE) {
      return draw < LARGE_SHARE ? 0 : 1;
    }
    return 2 + random.nextInt(RunResult.ORGANISATIONS - 2);
  }

  private long serviceMicros(double factor) {
    double normal = Math.exp(SIGMA * gaussian() - SIGMA * SIGMA / 2);
    double size = scenario.uneven() && random.nextInt(10) == 0 ? 10 : 1;
    return (long) (Scenario.SERVICE_MICROS * normal * size * factor);
  }

  private double gaussian() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  /** One request of a caller. */
  private final class Request {
    private final String id = "r" + requests++;
    private final int organisation;
    private final boolean idempotent;
    private final long arrivedAt = simulation.micros();
    private final Now deadline = simulation.now().plus(Duration.ofNanos(TIMEOUT_MICROS * 1_000));
    private final boolean counts = arrivedAt >= Scenario.FAULT_MICROS;
    private Optional<TargetId> previous = Optional.empty();
    private boolean mayHaveRun;
    private boolean over;
    private int attempts;

    Request(int organisation, boolean idempotent) {
      this.organisation = organisation;
      this.idempotent = idempotent;
    }

    void end(boolean served, boolean mayRun) {
      if (over) {
        return;
      }
      over = true;
      if (!counts) {
        return;
      }
      // Counted at the end, so that requests which are open when the run ends are left out.
      result.asked[organisation]++;
      if (served) {
        result.served[organisation]++;
        result.latencyMicros.recordValue(simulation.micros() - arrivedAt);
      } else if (mayRun) {
        result.failed++;
      } else {
        result.refused++;
      }
    }
  }

  /** One entry instance. */
  private final class Node {
    private final int index;
    private final InstancePolicy policy;
    private final RetryPolicy retries;
    private final WaitQueue<Request> queue = new WaitQueue<>(QUEUE);

    Node(int index, InstancePolicy policy) {
      this.index = index;
      this.policy = policy;
      this.retries = new RetryPolicy(RandomSource.XO_RO_SHI_RO_128_PP.create(index + 77));
    }

    boolean isLost() {
      return simulation.micros() >= Scenario.FAULT_MICROS
          && scenario.lostDomain() == deployment.domainOf(index);
    }

    void accept(Request request) {
      retries.onRequest(poolId);
      dispatch(request);
    }

    private void dispatch(Request request) {
      if (queue.size() > 0 || !sendOrRefuse(request)) {
        WaitQueue.OfferResult entry =
            queue.offer(
                request.id,
                new OrganisationId("team/" + request.organisation),
                request.deadline,
                request);
        if (!(entry instanceof WaitQueue.OfferResult.Queued)) {
          request.end(false, request.mayHaveRun);
        }
        serve();
      }
    }

    private void serve() {
      queue
          .removeExpired(simulation.now())
          .forEach(request -> request.end(false, request.mayHaveRun));
      while (queue.peek().filter(this::sendOrRefuse).isPresent()) {
        queue.poll();
      }
    }

    /** Returns whether the request needs to wait no longer. */
    private boolean sendOrRefuse(Request request) {
      TargetChoice choice = policy.choose(request.idempotent, request.previous, simulation.now());
      return switch (choice) {
        case TargetChoice.Chosen chosen -> {
          send(request, chosen);
          yield true;
        }
        case TargetChoice.AllBusy ignored -> false;
        case TargetChoice.NoneAvailable ignored -> {
          request.end(false, request.mayHaveRun);
          yield true;
        }
      };
    }

    private void send(Request request, TargetChoice.Chosen chosen) {
      int target = pool.targets().indexOf(chosen.target());
      request.attempts++;
      request.previous = Optional.of(chosen.target().id());
      Attempt attempt = new Attempt(this, request, target);
      noteSend(target, chosen.trial());
      policy.started(attempt.id, chosen.target().id(), simulation.now());
      simulation.in(deployment.wayMicros(index, target), attempt::arrive);
      simulation.in(
          request.deadline.monotonicNanos() / 1_000 - simulation.micros(), attempt::timeOut);
      sendReport();
    }

    private void noteSend(int target, boolean trial) {
      if (scenario.isFaulty(deployment, index, target, simulation.micros()) && !trial) {
        if (firstFaultySend < 0) {
          firstFaultySend = simulation.micros();
          firstNode = this;
        }
        lastFaultySend = simulation.micros();
      }
    }

    private void ended(Attempt attempt, SendResult sendResult) {
      Now now = simulation.now();
      Request request = attempt.request;
      TargetId target = Deployment.targetId(attempt.target);
      Duration time = Duration.ofNanos((simulation.micros() - attempt.startedAt) * 1_000);
      policy.ended(attempt.id, target, sendResult, time, now);
      RetryDecision decision =
          retries.decide(
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
      follow(request, decision, sendResult);
      sendReport();
      serve();
    }

    private void follow(Request request, RetryDecision decision, SendResult sendResult) {
      switch (decision) {
        case RetryDecision.Retry retry -> {
          result.retries++;
          simulation.in(retry.delay().toNanos() / 1_000, () -> dispatch(request));
        }
        case RetryDecision.GiveUp ignored -> request.end(false, request.mayHaveRun);
        case RetryDecision.Deliver ignored ->
            request.end(
                sendResult instanceof SendResult.Completed completed && completed.status() < 500,
                true);
        case RetryDecision.Drop ignored -> request.end(false, true);
      }
    }

    void tick() {
      if (isLost()) {
        return;
      }
      for (TargetId ejected : policy.tick(simulation.now())) {
        int target = Integer.parseInt(ejected.value().substring(1));
        if (!scenario.isFaulty(deployment, index, target, simulation.micros())) {
          result.falseEjections++;
          result.falselyEjected.add(ejected.value());
        }
      }
      noteStatus();
      sendReport();
      serve();
      simulation.in(TICK_MICROS, this::tick);
    }

    private void noteStatus() {
      if (firstFaultySend < 0 || detectedEverywhere) {
        return;
      }
      long millis = (simulation.micros() - firstFaultySend) / 1_000;
      if (!detectedLocally && !firstNode.policy.isInUse(Deployment.targetId(0))) {
        detectedLocally = true;
        result.localMillis.add(millis);
      }
      if (nodes.stream().allMatch(Node::avoidsFaultyTargets)) {
        detectedEverywhere = true;
        result.fleetMillis.add(millis);
      }
    }

    private boolean avoidsFaultyTargets() {
      for (int target = 0; target < deployment.targets(); target++) {
        if (!isLost()
            && scenario.isFaulty(deployment, index, target, simulation.micros())
            && policy.isInUse(Deployment.targetId(target))) {
          return false;
        }
      }
      return true;
    }

    private void sendReport() {
      Optional<PoolHealthReport> report = policy.takeReport(simulation.now());
      report.ifPresent(r -> toPeers(peer -> peer.policy.onReport(r, simulation.now())));
    }

    void tellInFlight() {
      if (isLost()) {
        return;
      }
      Map<TargetId, Double> averages = policy.takeInFlight(simulation.now());
      if (!averages.isEmpty()) {
        toPeers(peer -> peer.policy.onInFlight(id(index), averages, simulation.now()));
      }
      simulation.in(IN_FLIGHT_MICROS, this::tellInFlight);
    }

    private void toPeers(Consumer<Node> action) {
      for (Node peer : nodes) {
        if (peer != this && !peer.isLost()) {
          simulation.in(deployment.wayMicros(index, peer.index), () -> action.accept(peer));
        }
      }
    }
  }

  /** One attempt of a request at a target. */
  private final class Attempt {
    private final Node node;
    private final Request request;
    private final int target;
    private final String id;
    private final long startedAt = simulation.micros();
    private Optional<SimTarget.Job> job = Optional.empty();
    private boolean over;

    Attempt(Node node, Request request, int target) {
      this.node = node;
      this.request = request;
      this.target = target;
      this.id = request.id + "/" + request.attempts;
    }

    void arrive() {
      if (over) {
        return;
      }
      Effect effect = scenario.effect(deployment, node.index, target, simulation.micros(), random);
      switch (effect) {
        case Effect.Slow slow -> run(serviceMicros(slow.factor()), 200);
        case Effect.Failure ignored -> run(serviceMicros(1), 503);
        case Effect.Stall ignored -> run(scenario.stallMicros(simulation.micros()), 200);
        case Effect.Lost ignored -> {}
      }
    }

    private void run(long micros, int status) {
      SimTarget.Job work =
          new SimTarget.Job(
              micros,
              () ->
                  simulation.in(
                      deployment.wayMicros(node.index, target),
                      () -> end(new SendResult.Completed(status, false))));
      job = Optional.of(work);
      targets.get(target).accept(work);
    }

    void timeOut() {
      if (!over) {
        simulation.in(
            deployment.wayMicros(node.index, target),
            () -> job.ifPresent(work -> targets.get(target).cancel(work)));
        end(new SendResult.TimedOut());
      }
    }

    private void end(SendResult sendResult) {
      if (!over && !node.isLost()) {
        over = true;
        node.ended(this, sendResult);
      }
    }
  }
}
