package org.bergamotcross.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/** Guards against two attempts with the same idempotency key that both run. */
class ClaimExclusivityTest {
  private static final List<OrganisationId> ORGANISATIONS =
      List.of("t/x", "t/y", "t/z").stream().map(OrganisationId::new).toList();

  /** Records which keys the targets ran and which outcomes callers got. */
  private static final class Ledger {
    final Map<String, Integer> runs = new TreeMap<>();
    final Map<String, Integer> reported = new TreeMap<>();

    void run(String key) {
      runs.merge(key, 1, Integer::sum);
    }
  }

  /** One process with its claim holder; a sent request reaches its target after a delay. */
  private static final class ClaimProcess implements SimulatedFleet.ProcessBehavior {
    private final SimulatedFleet fleet;
    private final SimulatedFleet.Node node;
    private final Ledger ledger;
    private final Random random;
    private final OffsetQuorum quorum;
    private final ClaimHolder holder;
    private final Map<String, ClaimCoordinator> open = new HashMap<>();
    private final Map<String, String> keys = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private Optional<ClockReading> freshUntil = Optional.empty();

    ClaimProcess(SimulatedFleet fleet, SimulatedFleet.Node node, Ledger ledger, long seed) {
      this.fleet = fleet;
      this.node = node;
      this.ledger = ledger;
      this.random = new Random(seed);
      this.quorum = new OffsetQuorum(node.instance);
      this.holder = new ClaimHolder(node.instance, node.incarnation(), quorum, 1000, 100_000);
    }

    @Override
    public void configure(Configuration next, ClockReading now) {
      configuration = next;
      quorum.configure(next);
      holder.configure(next, now);
    }

    @Override
    public void setFreshUntil(ClockReading until) {
      freshUntil = Optional.of(until);
      holder.setFreshUntil(until);
    }

    @Override
    public void onMessage(InstanceId from, Record message, ClockReading now) {
      switch (message) {
        case SimulatedFleet.PeerOffset peer -> quorum.recordOffset(from, peer.offset());
        case ClaimRequest request -> send(from, holder.onRequest(request, now), now);
        case ClaimOutcome outcome -> holder.onOutcome(outcome, now);
        case ClaimSyncRequest sync ->
            holder.onSyncRequest(sync, now).ifPresent(answer -> send(from, answer, now));
        case ClaimSyncResponse answer ->
            holder.onSyncResponse(from, answer, now).ifPresent(next -> send(next, now));
        case ClaimResponse answer -> {
          ClaimCoordinator coordinator = open.get(answer.attempt());
          if (coordinator != null) {
            coordinator.onResponse(from, answer);
            decide(answer.attempt(), coordinator, now);
          }
        }
        default -> throw new IllegalStateException(message.toString());
      }
    }

    private void send(OutboundMessage message, ClockReading now) {
      send(message.to(), message.message(), now);
    }

    private void send(InstanceId to, Record message, ClockReading now) {
      if (to.equals(node.instance)) {
        onMessage(to, message, now);
      } else {
        node.send(to, message);
      }
    }

    @Override
    public void onTick(ClockReading now) {
      holder.tick(now).forEach(message -> send(message, now));
      Map.copyOf(open)
          .forEach(
              (attempt, coordinator) -> {
                coordinator
                    .dueRequests(configuration.members(), now)
                    .forEach(message -> send(message, now));
                decide(attempt, coordinator, now);
              });
    }

    void arrive(OrganisationId organisation, String key, String attempt, ClockReading now) {
      keys.put(attempt, key);
      open.put(
          attempt,
          new ClaimCoordinator(attempt, organisation, key, now.plus(Duration.ofSeconds(5)), now));
    }

    private void decide(String attempt, ClaimCoordinator coordinator, ClockReading now) {
      boolean fresh = freshUntil.map(now::isBefore).orElse(false);
      Optional<ClaimDecision> decision = coordinator.decide(fresh, now);
      if (decision.isEmpty()) {
        return;
      }
      switch (decision.get()) {
        case ClaimDecision.Send ignored -> sendToTarget(attempt, coordinator);
        case ClaimDecision.ReplayStored ignored ->
            end(attempt, "stored", ExecutionOutcome.NOT_RUN, now);
        case ClaimDecision.Refuse refuse ->
            end(attempt, refuse.refusal().code(), ExecutionOutcome.NOT_RUN, now);
      }
    }

    // The target refuses work past the deadline. It does not run some of the requests, and some of
    // its responses are lost.
    private void sendToTarget(String attempt, ClaimCoordinator coordinator) {
      int draw = random.nextInt(10);
      fleet.at(
          fleet.millis() + random.nextInt(400),
          () -> {
            ClockReading now = node.now();
            boolean runs = draw > 2 && now.isBefore(coordinator.deadline());
            if (runs) {
              ledger.run(keys.get(attempt));
            }
            ExecutionOutcome outcome = runs ? ExecutionOutcome.RUN : ExecutionOutcome.NOT_RUN;
            if (node.isRunning() && node.process().equals(Optional.of(this))) {
              end(attempt, outcome.label(), draw > 8 ? ExecutionOutcome.UNKNOWN : outcome, now);
            }
          });
    }

    private void end(String attempt, String result, ExecutionOutcome outcome, ClockReading now) {
      ledger.reported.merge(result, 1, Integer::sum);
      Optional<StoredResponse> answer =
          outcome == ExecutionOutcome.RUN
              ? Optional.of(new StoredResponse(200, "", new byte[10]))
              : Optional.empty();
      open.remove(attempt).outcomeMessages(outcome, answer).forEach(message -> send(message, now));
    }
  }

  private SimulatedFleet fleet(long seed, SimulatedFleet.NetworkConditions network, Ledger ledger) {
    List<Organisation> organisations =
        ORGANISATIONS.stream().map(id -> new Organisation(id, 100, 100)).toList();
    SimulatedFleet fleet =
        new SimulatedFleet(
            seed, network, new TeamSettings("t", organisations, List.of(), List.of(), List.of()));
    for (String id : FaultSchedules.NODES) {
      fleet.start(
          id,
          id.substring(0, 1),
          node -> new ClaimProcess(fleet, node, ledger, seed + id.hashCode()));
    }
    return fleet;
  }

  private void arriveAt(SimulatedFleet fleet, long millis, int node, int key, String attempt) {
    fleet.at(
        millis,
        () -> {
          SimulatedFleet.Node at = fleet.node(FaultSchedules.NODES.get(node));
          if (at.isRunning()) {
            ((ClaimProcess) at.process().orElseThrow())
                .arrive(ORGANISATIONS.get(key % 3), "key" + key, attempt, at.now());
          }
        });
  }

  @Group
  class Failures {
    @Provide
    Arbitrary<List<FaultSchedules.Fault>> faults() {
      return FaultSchedules.faults(3000, 24_000);
    }

    @Provide
    Arbitrary<SimulatedFleet.NetworkConditions> networkConditions() {
      return FaultSchedules.networkConditions();
    }

    @Property(seed = "8301", tries = 150)
    void noRequestRunsTwice(
        @ForAll long seed,
        @ForAll("networkConditions") SimulatedFleet.NetworkConditions network,
        @ForAll("faults") List<FaultSchedules.Fault> faults) {
      Ledger ledger = new Ledger();
      SimulatedFleet fleet = fleet(seed, network, ledger);
      faults.forEach(fault -> FaultSchedules.apply(fleet, fault));
      Random random = new Random(seed);
      for (int key = 0; key < 90; key++) {
        int first = 2000 + random.nextInt(24_000);
        for (int attempt = 0; attempt < 6; attempt++) {
          int at = first + (attempt < 3 ? random.nextInt(30) : random.nextInt(8000));
          arriveAt(fleet, at, random.nextInt(7), key, "k" + key + "a" + attempt);
        }
      }
      fleet.runUntil(40_000);
      ledger.runs.forEach((key, runs) -> assertWithMessage(key).that(runs).isEqualTo(1));
    }
  }

  @Group
  class NoFailure {
    @Property(seed = "8302", tries = 10)
    void everyFirstAttemptIsSentAndEveryRepeatAnswered(@ForAll long seed) {
      Ledger ledger = new Ledger();
      SimulatedFleet fleet = fleet(seed, new SimulatedFleet.NetworkConditions(0, 0, 3), ledger);
      fleet.at(12_000, () -> fleet.start("a0", "a", n -> new ClaimProcess(fleet, n, ledger, 1)));
      fleet.at(16_000, () -> fleet.removeMember("b1"));
      for (int key = 0; key < 60; key++) {
        arriveAt(fleet, 8000 + key * 200L, key % 7, key, "k" + key + "a0");
        arriveAt(fleet, 16_000 + key * 200L, (key + 3) % 7, key, "k" + key + "a1");
      }
      fleet.runUntil(40_000);
      Iterator<String> codes = ledger.reported.keySet().iterator();
      assertThat(ledger.reported.values().stream().mapToInt(Integer::intValue).sum())
          .isEqualTo(120);
      while (codes.hasNext()) {
        assertThat(codes.next()).isIn(List.of("run", "stored", "not-run", "already-claimed"));
      }
    }
  }
}
