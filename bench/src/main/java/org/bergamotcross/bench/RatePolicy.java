package org.bergamotcross.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.bergamotcross.core.admission.BorrowingRateLimiter;
import org.bergamotcross.core.admission.OffsetQuorum;
import org.bergamotcross.core.admission.OutboundMessage;
import org.bergamotcross.core.admission.RateDecision;
import org.bergamotcross.core.admission.RateLimiterOutput;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.kernel.ClockReading;

/** A simulated policy for fleet-wide rate limits, compared by {@link RatePolicyBench}. */
sealed interface RatePolicy {
  /** The maximum time that a request waits for a token, in all policies. */
  long MAX_WAIT_NANOS = 4_000 * AdmissionSimulation.NANOS_PER_MILLI;

  /** Decides on a request; passes the decision to {@code onDecision}, at once or later. */
  void admit(int instance, Organisation organisation, Consumer<Boolean> onDecision);

  /** Marks an instance as failed for the rest of the run. */
  void onInstanceFailure(int instance);

  /** Distributes a new member list to all running instances. */
  void configure(Set<Integer> members);

  /** Runs the periodic work, every 10 ms. */
  void tick();

  /** A token bucket with a queue of the requests that wait for a token. */
  final class QueueingTokenBucket {
    private record WaitingRequest(long deadlineNanos, Consumer<Boolean> onDecision) {}

    private final double rate;
    private final double burst;
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
    private double level;
    private long updatedAtNanos;

    QueueingTokenBucket(double rate, double burst, long nowNanos) {
      this.rate = rate;
      this.burst = burst;
      this.updatedAtNanos = nowNanos;
    }

    void offer(long nowNanos, Consumer<Boolean> onDecision) {
      waiting.add(new WaitingRequest(nowNanos + MAX_WAIT_NANOS, onDecision));
      serve(nowNanos);
    }

    void serve(long nowNanos) {
      level = Math.min(burst, level + (nowNanos - updatedAtNanos) / 1e9 * rate);
      updatedAtNanos = nowNanos;
      while (!waiting.isEmpty() && (level >= 1 || waiting.peek().deadlineNanos <= nowNanos)) {
        boolean admitted = level >= 1;
        level -= admitted ? 1 : 0;
        waiting.poll().onDecision.accept(admitted);
      }
    }

    void refuseAll() {
      waiting.forEach(request -> request.onDecision.accept(false));
      waiting.clear();
    }
  }

  /** Gives each instance an equal, fixed share of each rate. */
  record FixedShares(AdmissionSimulation simulation, Map<String, QueueingTokenBucket> buckets)
      implements RatePolicy {
    @Override
    public void admit(int instance, Organisation organisation, Consumer<Boolean> onDecision) {
      buckets
          .computeIfAbsent(
              instance + "/" + organisation.id(),
              key ->
                  new QueueingTokenBucket(
                      organisation.rate() / simulation.instanceCount,
                      Math.max(1, organisation.burst() / simulation.instanceCount),
                      0))
          .offer(simulation.timeNanos(), onDecision);
    }

    @Override
    public void onInstanceFailure(int instance) {
      buckets.forEach(
          (key, bucket) -> {
            if (key.startsWith(instance + "/")) {
              bucket.refuseAll();
            }
          });
    }

    @Override
    public void configure(Set<Integer> members) {}

    @Override
    public void tick() {
      buckets.values().forEach(bucket -> bucket.serve(simulation.timeNanos()));
    }
  }

  /**
   * Lets one member decide for each organisation. A new owner starts after the same delay as a new
   * token holder.
   */
  final class SingleOwner implements RatePolicy {
    private static final long OWNER_START_DELAY_NANOS = 4_250 * AdmissionSimulation.NANOS_PER_MILLI;
    private static final long RESPONSE_TIMEOUT_NANOS =
        MAX_WAIT_NANOS + 50 * AdmissionSimulation.NANOS_PER_MILLI;

    private final AdmissionSimulation simulation;
    private final Map<OrganisationId, Integer> owners = new HashMap<>();
    private final Map<OrganisationId, QueueingTokenBucket> buckets = new HashMap<>();
    private final Map<OrganisationId, Long> ownerStartNanos = new HashMap<>();
    private final Set<Integer> failedInstances = new HashSet<>();
    private boolean configured;

    SingleOwner(AdmissionSimulation simulation) {
      this.simulation = simulation;
    }

    @Override
    public void admit(int instance, Organisation organisation, Consumer<Boolean> onDecision) {
      int owner = owners.get(organisation.id());
      FirstDecision firstDecision = new FirstDecision(onDecision);
      simulation.scheduleAt(
          simulation.timeNanos() + RESPONSE_TIMEOUT_NANOS, () -> firstDecision.accept(false));
      Runnable decide =
          () -> {
            if (!failedInstances.contains(owner) && owners.get(organisation.id()) == owner) {
              buckets
                  .get(organisation.id())
                  .offer(
                      simulation.timeNanos(),
                      admitted -> respond(owner, instance, firstDecision, admitted));
            }
          };
      if (owner == instance) {
        decide.run();
      } else {
        simulation.send(instance, owner, decide);
      }
    }

    private void respond(int owner, int instance, FirstDecision firstDecision, boolean admitted) {
      if (owner == instance) {
        firstDecision.accept(admitted);
      } else {
        simulation.send(owner, instance, () -> firstDecision.accept(admitted));
      }
    }

    @Override
    public void onInstanceFailure(int instance) {
      failedInstances.add(instance);
    }

    @Override
    public void configure(Set<Integer> members) {
      Configuration configuration = simulation.createConfiguration(0, members);
      for (Organisation organisation : configuration.organisations()) {
        Member owner = configuration.members().holders(organisation.id().value()).getFirst();
        Integer previousOwner =
            owners.put(organisation.id(), AdmissionSimulation.instanceIndex(owner.id()));
        if (previousOwner == null
            || previousOwner != AdmissionSimulation.instanceIndex(owner.id())) {
          ownerStartNanos.put(
              organisation.id(), configured ? simulation.timeNanos() + OWNER_START_DELAY_NANOS : 0);
          buckets.put(
              organisation.id(),
              new QueueingTokenBucket(
                  organisation.rate(),
                  organisation.burst(),
                  ownerStartNanos.get(organisation.id())));
        }
      }
      configured = true;
    }

    @Override
    public void tick() {
      buckets.forEach(
          (id, bucket) -> {
            if (simulation.timeNanos() >= ownerStartNanos.get(id)
                && !failedInstances.contains(owners.get(id))) {
              bucket.serve(simulation.timeNanos());
            }
          });
    }

    private static final class FirstDecision implements Consumer<Boolean> {
      private final Consumer<Boolean> onDecision;
      private boolean decided;

      FirstDecision(Consumer<Boolean> onDecision) {
        this.onDecision = onDecision;
      }

      @Override
      public void accept(Boolean admitted) {
        if (!decided) {
          decided = true;
          onDecision.accept(admitted);
        }
      }
    }
  }

  /** The production policy: instances borrow tokens from holders in up to three failure domains. */
  final class Borrowing implements RatePolicy {
    private final AdmissionSimulation simulation;
    private final List<BorrowingRateLimiter> rateLimiters = new ArrayList<>();
    private final List<OffsetQuorum> quorums = new ArrayList<>();
    private final Map<String, Consumer<Boolean>> waitingRequests = new HashMap<>();
    private final Set<Integer> failedInstances = new HashSet<>();
    private long offset;
    private long requestCount;

    Borrowing(AdmissionSimulation simulation) {
      this.simulation = simulation;
      for (int i = 0; i < simulation.instanceCount; i++) {
        OffsetQuorum quorum = new OffsetQuorum(AdmissionSimulation.instanceId(i));
        quorums.add(quorum);
        rateLimiters.add(
            new BorrowingRateLimiter(AdmissionSimulation.instanceId(i), 1, quorum, 4096));
      }
    }

    @Override
    public void admit(int instance, Organisation organisation, Consumer<Boolean> onDecision) {
      String request = "r" + requestCount++;
      ClockReading now = simulation.now();
      ClockReading deadline =
          new ClockReading(simulation.timeNanos() + 2 * MAX_WAIT_NANOS, now.wallMillis());
      RateDecision decision =
          rateLimiters.get(instance).tryAdmit(request, organisation, deadline, now);
      switch (decision) {
        case RateDecision.Admitted ignored -> onDecision.accept(true);
        case RateDecision.Refused ignored -> onDecision.accept(false);
        case RateDecision.Queued ignored -> waitingRequests.put(request, onDecision);
      }
      step(instance);
    }

    private void step(int instance) {
      RateLimiterOutput output = rateLimiters.get(instance).step(simulation.now());
      for (OutboundMessage message : output.messages()) {
        int to = AdmissionSimulation.instanceIndex(message.to());
        simulation.send(instance, to, () -> receive(instance, to, message.message()));
      }
      for (RateLimiterOutput.CompletedWait ended : output.completedWaits()) {
        Optional.ofNullable(waitingRequests.remove(ended.requestId()))
            .ifPresent(
                onDecision -> onDecision.accept(ended.decision() instanceof RateDecision.Admitted));
      }
    }

    private void receive(int from, int to, Record message) {
      if (!failedInstances.contains(to)) {
        InstanceId sender = AdmissionSimulation.instanceId(from);
        rateLimiters.get(to).onMessage(sender, message, simulation.now());
        step(to);
      }
    }

    @Override
    public void onInstanceFailure(int instance) {
      failedInstances.add(instance);
    }

    @Override
    public void configure(Set<Integer> members) {
      Set<Integer> memberIndexes = new TreeSet<>(members);
      Configuration configuration = simulation.createConfiguration(offset++, memberIndexes);
      for (int i = 0; i < simulation.instanceCount; i++) {
        if (!failedInstances.contains(i)) {
          rateLimiters.get(i).setFreshUntil(new ClockReading(Long.MAX_VALUE / 4, 0));
          quorums.get(i).configure(configuration);
          memberIndexes.forEach(peer -> recordOffsetAtPeers(peer, configuration.offset()));
          rateLimiters.get(i).configure(configuration, simulation.now());
          step(i);
        }
      }
    }

    private void recordOffsetAtPeers(int peer, long peerOffset) {
      quorums.forEach(
          quorum -> quorum.recordOffset(AdmissionSimulation.instanceId(peer), peerOffset));
    }

    @Override
    public void tick() {
      for (int i = 0; i < simulation.instanceCount; i++) {
        if (!failedInstances.contains(i)) {
          step(i);
        }
      }
    }
  }
}
