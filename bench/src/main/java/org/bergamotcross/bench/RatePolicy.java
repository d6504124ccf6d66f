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
import org.bergamotcross.kernel.Now;

/** A way to hold organisations to their rates, driven by {@link RatePolicyBench}. */
sealed interface RatePolicy {
  /** Requests wait at most this long, in all policies. */
  long MAX_WAIT_NANOS = 4_000 * AdmissionModel.MILLI;

  /** Decides on a request; calls {@code end} with whether it was admitted, now or later. */
  void arrive(int instance, Organisation organisation, Consumer<Boolean> end);

  /** The instance is down from now on. */
  void fail(int instance);

  /** All instances that are up learn the members. */
  void configure(Set<Integer> members);

  /** Does what is due every 10 ms. */
  void tick();

  /** A token bucket, and the requests that wait for it. */
  final class Bucket {
    private record Waiting(long until, Consumer<Boolean> end) {}

    private final double rate;
    private final double burst;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double level;
    private long at;

    Bucket(double rate, double burst, long at) {
      this.rate = rate;
      this.burst = burst;
      this.at = at;
    }

    void offer(long now, Consumer<Boolean> end) {
      waiting.add(new Waiting(now + MAX_WAIT_NANOS, end));
      serve(now);
    }

    void serve(long now) {
      level = Math.min(burst, level + (now - at) / 1e9 * rate);
      at = now;
      while (!waiting.isEmpty() && (level >= 1 || waiting.peek().until <= now)) {
        boolean admitted = level >= 1;
        level -= admitted ? 1 : 0;
        waiting.poll().end.accept(admitted);
      }
    }

    void refuseAll() {
      waiting.forEach(request -> request.end.accept(false));
      waiting.clear();
    }
  }

  /** Each instance has an equal, fixed part of each rate. */
  record FixedShares(AdmissionModel model, Map<String, Bucket> buckets) implements RatePolicy {
    @Override
    public void arrive(int instance, Organisation o, Consumer<Boolean> end) {
      buckets
          .computeIfAbsent(
              instance + "/" + o.id(),
              key ->
                  new Bucket(
                      o.rate() / model.instances, Math.max(1, o.burst() / model.instances), 0))
          .offer(model.time(), end);
    }

    @Override
    public void fail(int instance) {
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
      buckets.values().forEach(bucket -> bucket.serve(model.time()));
    }
  }

  /** One member decides for an organisation; a new owner starts as late as a new holder does. */
  final class OneOwner implements RatePolicy {
    private static final long SETTLE_NANOS = 4_250 * AdmissionModel.MILLI;
    private static final long ANSWER_LIMIT_NANOS = MAX_WAIT_NANOS + 50 * AdmissionModel.MILLI;

    private final AdmissionModel model;
    private final Map<OrganisationId, Integer> owners = new HashMap<>();
    private final Map<OrganisationId, Bucket> buckets = new HashMap<>();
    private final Map<OrganisationId, Long> startsAt = new HashMap<>();
    private final Set<Integer> down = new HashSet<>();
    private boolean started;

    OneOwner(AdmissionModel model) {
      this.model = model;
    }

    @Override
    public void arrive(int instance, Organisation o, Consumer<Boolean> end) {
      int owner = owners.get(o.id());
      Once once = new Once(end);
      model.at(model.time() + ANSWER_LIMIT_NANOS, () -> once.accept(false));
      Runnable decide =
          () -> {
            if (!down.contains(owner) && owners.get(o.id()) == owner) {
              buckets.get(o.id()).offer(model.time(), ok -> answer(owner, instance, once, ok));
            }
          };
      if (owner == instance) {
        decide.run();
      } else {
        model.send(instance, owner, decide);
      }
    }

    private void answer(int owner, int instance, Once once, boolean admitted) {
      if (owner == instance) {
        once.accept(admitted);
      } else {
        model.send(owner, instance, () -> once.accept(admitted));
      }
    }

    @Override
    public void fail(int instance) {
      down.add(instance);
    }

    @Override
    public void configure(Set<Integer> members) {
      Configuration configuration = model.configuration(0, members);
      for (Organisation o : configuration.organisations()) {
        Member owner = configuration.members().holders(o.id().value()).getFirst();
        Integer before = owners.put(o.id(), AdmissionModel.index(owner.id()));
        if (before == null || before != AdmissionModel.index(owner.id())) {
          startsAt.put(o.id(), started ? model.time() + SETTLE_NANOS : 0);
          buckets.put(o.id(), new Bucket(o.rate(), o.burst(), startsAt.get(o.id())));
        }
      }
      started = true;
    }

    @Override
    public void tick() {
      buckets.forEach(
          (id, bucket) -> {
            if (model.time() >= startsAt.get(id) && !down.contains(owners.get(id))) {
              bucket.serve(model.time());
            }
          });
    }

    private static final class Once implements Consumer<Boolean> {
      private final Consumer<Boolean> end;
      private boolean done;

      Once(Consumer<Boolean> end) {
        this.end = end;
      }

      @Override
      public void accept(Boolean admitted) {
        if (!done) {
          done = true;
          end.accept(admitted);
        }
      }
    }
  }

  /** The chosen policy: instances borrow tokens from holders in up to three failure domains. */
  final class Borrowing implements RatePolicy {
    private final AdmissionModel model;
    private final List<BorrowingRateLimiter> rates = new ArrayList<>();
    private final List<OffsetQuorum> quorums = new ArrayList<>();
    private final Map<String, Consumer<Boolean>> open = new HashMap<>();
    private final Set<Integer> down = new HashSet<>();
    private long offset;
    private long requests;

    Borrowing(AdmissionModel model) {
      this.model = model;
      for (int i = 0; i < model.instances; i++) {
        OffsetQuorum quorum = new OffsetQuorum(AdmissionModel.id(i));
        quorums.add(quorum);
        rates.add(new BorrowingRateLimiter(AdmissionModel.id(i), 1, quorum, 4096));
      }
    }

    @Override
    public void arrive(int instance, Organisation organisation, Consumer<Boolean> end) {
      String request = "r" + requests++;
      Now now = model.now();
      Now deadline = new Now(model.time() + 2 * MAX_WAIT_NANOS, now.wallMillis());
      RateDecision decision = rates.get(instance).tryAdmit(request, organisation, deadline, now);
      switch (decision) {
        case RateDecision.Admitted ignored -> end.accept(true);
        case RateDecision.Refused ignored -> end.accept(false);
        case RateDecision.Queued ignored -> open.put(request, end);
      }
      step(instance);
    }

    private void step(int instance) {
      RateLimiterOutput step = rates.get(instance).step(model.now());
      for (OutboundMessage message : step.messages()) {
        int to = AdmissionModel.index(message.to());
        model.send(instance, to, () -> receive(instance, to, message.message()));
      }
      for (RateLimiterOutput.CompletedWait ended : step.completedWaits()) {
        Optional.ofNullable(open.remove(ended.requestId()))
            .ifPresent(end -> end.accept(ended.decision() instanceof RateDecision.Admitted));
      }
    }

    private void receive(int from, int to, Record message) {
      if (!down.contains(to)) {
        InstanceId sender = AdmissionModel.id(from);
        rates.get(to).onMessage(sender, message, model.now());
        step(to);
      }
    }

    @Override
    public void fail(int instance) {
      down.add(instance);
    }

    @Override
    public void configure(Set<Integer> members) {
      Set<Integer> known = new TreeSet<>(members);
      Configuration configuration = model.configuration(offset++, known);
      for (int i = 0; i < model.instances; i++) {
        if (!down.contains(i)) {
          rates.get(i).setFreshUntil(new Now(Long.MAX_VALUE / 4, 0));
          quorums.get(i).configure(configuration);
          known.forEach(peer -> quorumHears(peer, configuration.offset()));
          rates.get(i).configure(configuration, model.now());
          step(i);
        }
      }
    }

    private void quorumHears(int peer, long heard) {
      quorums.forEach(quorum -> quorum.recordOffset(AdmissionModel.id(peer), heard));
    }

    @Override
    public void tick() {
      for (int i = 0; i < model.instances; i++) {
        if (!down.contains(i)) {
          step(i);
        }
      }
    }
  }
}
