package org.bergamotcross.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;
import org.bergamotcross.core.admission.ClaimCoordinator;
import org.bergamotcross.core.admission.ClaimDecision;
import org.bergamotcross.core.admission.ClaimHolder;
import org.bergamotcross.core.admission.ClaimOutcome;
import org.bergamotcross.core.admission.ClaimRequest;
import org.bergamotcross.core.admission.ClaimResponse;
import org.bergamotcross.core.admission.ClaimSyncRequest;
import org.bergamotcross.core.admission.ClaimSyncResponse;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.OffsetQuorum;
import org.bergamotcross.core.admission.OutboundMessage;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Simulates three claim policies under the same workload: a claim per log append, one owner with a
 * lease, and holders in several failure domains.
 *
 * <p>Orders arrive as a Poisson process at random instances. The log accepts 300 appends per second
 * with a latency of 5 ms each, and is unavailable from second 20 to 40. A lease lasts 3 s and is
 * renewed through the log. The reports are written to {@code claims.csv} and {@code claims.md}.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.bench.ClaimPolicyBench [SEED] [DIRECTORY]
 * }</pre>
 */
public final class ClaimPolicyBench {
  private static final List<String> COLUMNS =
      List.of(
          "one way ms",
          "orders/s",
          "policy",
          "orders",
          "refused",
          "refused in outage",
          "added p50 ms",
          "added p99 ms",
          "added p99.9 ms",
          "messages per order");
  private static final long NANOS_PER_SECOND = 1_000 * AdmissionSimulation.NANOS_PER_MILLI;
  private static final long ARRIVALS_START_NANOS = 2 * NANOS_PER_SECOND;
  private static final long OUTAGE_START_NANOS = 20 * NANOS_PER_SECOND;
  private static final long OUTAGE_END_NANOS = 40 * NANOS_PER_SECOND;
  private static final long ARRIVALS_END_NANOS = 60 * NANOS_PER_SECOND;
  private static final long LEASE_NANOS = 3 * NANOS_PER_SECOND;
  private static final long MAX_WAIT_NANOS = 4 * NANOS_PER_SECOND;
  private static final long APPEND_LATENCY_NANOS = 5 * AdmissionSimulation.NANOS_PER_MILLI;
  private static final long APPENDS_PER_SECOND = 300;

  /** The compared policies; the report shows their names in lower case. */
  private enum Policy {
    LOG,
    LEASE,
    HOLDERS
  }

  private final AdmissionSimulation simulation;
  private final Policy policy;
  private final Histogram addedLatencyMicros = new Histogram(60_000_000L, 3);
  private final List<ClaimHolder> holders = new ArrayList<>();
  private final Map<String, ClaimCoordinator> openCoordinators = new HashMap<>();
  private final Map<String, Integer> coordinatorInstances = new HashMap<>();
  private final Map<String, Long> startNanos = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private long logIdleAtNanos;
  private long orderCount;
  private long refusedCount;
  private long refusedInOutageCount;

  private ClaimPolicyBench(AdmissionSimulation simulation, Policy policy) {
    this.simulation = simulation;
    this.policy = policy;
  }

  /**
   * Simulates all policies and writes the reports.
   *
   * @param args the seed, 1 if absent, and the directory, {@code target/bench} if absent
   * @throws IOException if a report cannot be written
   */
  public static void main(String[] args) throws IOException {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
    List<List<String>> rows = new ArrayList<>();
    for (long crossDomainNanos : new long[] {250_000, 500_000, 750_000, 1_500_000}) {
      for (int ordersPerSecond : new int[] {100, 500}) {
        for (Policy policy : Policy.values()) {
          AdmissionSimulation simulation =
              crossDomainNanos <= 500_000
                  ? new AdmissionSimulation(17, 3, crossDomainNanos, seed)
                  : new AdmissionSimulation(18, 4, crossDomainNanos, seed);
          rows.add(new ClaimPolicyBench(simulation, policy).run(crossDomainNanos, ordersPerSecond));
        }
      }
    }
    Path directory = Path.of(args.length > 1 ? args[1] : "target/bench");
    BenchReport.write(directory, "claims", "Seed " + seed + ".", COLUMNS, rows);
  }

  private List<String> run(long crossDomainNanos, int ordersPerSecond) {
    joinMembers();
    scheduleArrivals(ARRIVALS_START_NANOS, ordersPerSecond);
    simulation.runUntil(ARRIVALS_END_NANOS + 5 * NANOS_PER_SECOND);
    return List.of(
        format(crossDomainNanos / 1e6),
        Integer.toString(ordersPerSecond),
        policy.name().toLowerCase(Locale.ROOT),
        Long.toString(orderCount),
        Long.toString(refusedCount),
        Long.toString(refusedInOutageCount),
        format(addedLatencyMicros.getValueAtPercentile(50) / 1e3),
        format(addedLatencyMicros.getValueAtPercentile(99) / 1e3),
        format(addedLatencyMicros.getValueAtPercentile(99.9) / 1e3),
        format(simulation.messageCount / (double) Math.max(1, orderCount)));
  }

  // Members join an empty log one by one, so that the holders know that no claim exists yet.
  private void joinMembers() {
    List<OffsetQuorum> quorums = new ArrayList<>();
    for (int i = 0; i < simulation.instanceCount; i++) {
      quorums.add(new OffsetQuorum(AdmissionSimulation.instanceId(i)));
      holders.add(
          new ClaimHolder(AdmissionSimulation.instanceId(i), 1, quorums.get(i), 100_000, 1 << 20));
      holders.get(i).setFreshUntil(new ClockReading(Long.MAX_VALUE / 4, 0));
    }
    TreeSet<Integer> members = new TreeSet<>();
    for (int i = 0; i < simulation.instanceCount; i++) {
      members.add(i);
      configuration = simulation.createConfiguration(i, members);
      for (int j = 0; j < simulation.instanceCount; j++) {
        quorums.get(j).configure(configuration);
        holders.get(j).configure(configuration, simulation.now());
      }
    }
    tick();
  }

  private void tick() {
    for (int i = 0; i < simulation.instanceCount; i++) {
      int instance = i;
      holders.get(i).tick(simulation.now()).forEach(message -> send(instance, message));
    }
    List.copyOf(openCoordinators.keySet()).forEach(this::advanceClaim);
    simulation.scheduleAt(
        simulation.timeNanos() + 10 * AdmissionSimulation.NANOS_PER_MILLI, this::tick);
  }

  private void scheduleArrivals(long previousNanos, int ordersPerSecond) {
    long arrivalNanos =
        previousNanos
            - (long) (Math.log(1 - simulation.arrivalRandom.nextDouble()) / ordersPerSecond * 1e9);
    if (arrivalNanos < ARRIVALS_END_NANOS) {
      int instance = simulation.arrivalRandom.nextInt(simulation.instanceCount);
      int organisation = simulation.arrivalRandom.nextInt(8);
      simulation.scheduleAt(arrivalNanos, () -> startOrder(instance, organisation));
      simulation.scheduleAt(arrivalNanos, () -> scheduleArrivals(arrivalNanos, ordersPerSecond));
    }
  }

  private void startOrder(int instance, int organisation) {
    orderCount++;
    OrganisationId id = new OrganisationId("team/o" + organisation);
    switch (policy) {
      case LOG -> appendToLog(simulation.timeNanos(), MAX_WAIT_NANOS);
      case LEASE -> claimAtOwner(instance, id);
      case HOLDERS -> {
        String attempt = "a" + orderCount;
        ClockReading deadline = simulation.now().plus(Duration.ofSeconds(10));
        openCoordinators.put(
            attempt, new ClaimCoordinator(attempt, id, attempt, deadline, simulation.now()));
        coordinatorInstances.put(attempt, instance);
        startNanos.put(attempt, simulation.timeNanos());
        advanceClaim(attempt);
      }
    }
  }

  private static boolean isInOutage(long timeNanos) {
    return timeNanos >= OUTAGE_START_NANOS && timeNanos < OUTAGE_END_NANOS;
  }

  private void appendToLog(long start, long maxWaitNanos) {
    long appendNanos = Math.max(start, logIdleAtNanos);
    if (isInOutage(appendNanos)) {
      appendNanos = OUTAGE_END_NANOS;
    }
    if (appendNanos - start > maxWaitNanos) {
      recordRefusal(start);
    } else {
      logIdleAtNanos = appendNanos + NANOS_PER_SECOND / APPENDS_PER_SECOND;
      recordAddedLatency(appendNanos + APPEND_LATENCY_NANOS - start);
    }
  }

  // The owner decides from memory while its lease is valid; it can't renew it during a log outage.
  private void claimAtOwner(int instance, OrganisationId id) {
    InstanceId owner = configuration.members().holders(id.value()).getFirst().id();
    long start = simulation.timeNanos();
    if (start >= OUTAGE_START_NANOS + LEASE_NANOS && start < OUTAGE_END_NANOS) {
      recordRefusal(start);
    } else if (AdmissionSimulation.instanceIndex(owner) == instance) {
      recordAddedLatency(0);
    } else {
      int to = AdmissionSimulation.instanceIndex(owner);
      simulation.send(
          instance,
          to,
          () ->
              simulation.send(
                  to, instance, () -> recordAddedLatency(simulation.timeNanos() - start)));
    }
  }

  private void recordAddedLatency(long nanos) {
    addedLatencyMicros.recordValue(nanos / 1_000);
  }

  private void recordRefusal(long start) {
    refusedCount++;
    refusedInOutageCount += isInOutage(start) ? 1 : 0;
  }

  private void advanceClaim(String attempt) {
    ClaimCoordinator coordinator = openCoordinators.get(attempt);
    int instance = coordinatorInstances.get(attempt);
    coordinator
        .dueRequests(configuration.members(), simulation.now())
        .forEach(message -> send(instance, message));
    completeIfDecided(attempt, coordinator);
  }

  private void send(int from, OutboundMessage message) {
    int to = AdmissionSimulation.instanceIndex(message.to());
    if (to == from) {
      receive(from, to, message.message());
    } else {
      simulation.send(from, to, () -> receive(from, to, message.message()));
    }
  }

  private void receive(int from, int to, Record message) {
    InstanceId sender = AdmissionSimulation.instanceId(from);
    ClaimHolder holder = holders.get(to);
    switch (message) {
      case ClaimRequest request ->
          send(to, new OutboundMessage(sender, holder.onRequest(request, simulation.now())));
      case ClaimOutcome outcome -> holder.onOutcome(outcome, simulation.now());
      case ClaimSyncRequest request ->
          holder
              .onSyncRequest(request, simulation.now())
              .ifPresent(page -> send(to, new OutboundMessage(sender, page)));
      case ClaimSyncResponse page ->
          holder.onSyncResponse(sender, page, simulation.now()).ifPresent(next -> send(to, next));
      case ClaimResponse response -> {
        ClaimCoordinator coordinator = openCoordinators.get(response.attempt());
        if (coordinator != null) {
          coordinator.onResponse(sender, response);
          completeIfDecided(response.attempt(), coordinator);
        }
      }
      default -> throw new IllegalStateException("unexpected message: " + message);
    }
  }

  private void completeIfDecided(String attempt, ClaimCoordinator coordinator) {
    Optional<ClaimDecision> decision = coordinator.decide(true, simulation.now());
    if (decision.isEmpty() || openCoordinators.remove(attempt) == null) {
      return;
    }
    long start = startNanos.remove(attempt);
    int instance = coordinatorInstances.remove(attempt);
    boolean sent = decision.get() instanceof ClaimDecision.Send;
    if (sent) {
      recordAddedLatency(simulation.timeNanos() - start);
    } else {
      recordRefusal(start);
    }
    coordinator
        .outcomeMessages(sent ? ExecutionOutcome.RUN : ExecutionOutcome.NOT_RUN, Optional.empty())
        .forEach(message -> send(instance, message));
  }

  private static String format(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
