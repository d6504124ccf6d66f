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
import org.bergamotcross.kernel.Now;

/** Guards against two attempts with one idempotency key that are both sent. */
class ClaimTest {
  private static final List<OrganisationId> ORGANISATIONS =
      List.of("t/x", "t/y", "t/z").stream().map(OrganisationId::new).toList();

  /** What the targets ran, and what callers were told. */
  private static final class Ledger {
    final Map<String, Integer> runs = new TreeMap<>();
    final Map<String, Integer> told = new TreeMap<>();

    void run(String key) {
      runs.merge(key, 1, Integer::sum);
    }
  }

  /** One process with its claims; a sent request reaches its target after a delay. */
  private static final class ClaimProcess implements FakeFleet.Behavior {
    private final FakeFleet fleet;
    private final FakeFleet.Node node;
    private final Ledger ledger;
    private final Random random;
    private final OffsetQuorum quorum;
    private final ClaimHolder holder;
    private final Map<String, ClaimCoordinator> open = new HashMap<>();
    private final Map<String, String> keys = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private Optional<Now> freshUntil = Optional.empty();

    ClaimProcess(FakeFleet fleet, FakeFleet.Node node, Ledger ledger, long seed) {
      this.fleet = fleet;
      this.node = node;
      this.ledger = ledger;
      this.random = new Random(seed);
      this.quorum = new OffsetQuorum(node.instance);
      this.holder = new ClaimHolder(node.instance, node.incarnation(), quorum, 1000, 100_000);
    }

    @Override
    public void configure(Configuration next, Now now) {
      configuration = next;
      quorum.configure(next);
      holder.configure(next, now);
    }

    @Override
    public void freshUntil(Now until) {
      freshUntil = Optional.of(until);
      holder.freshUntil(until);
    }

    @Override
    public void onMessage(InstanceId from, Record message, Now now) {
      switch (message) {
        case FakeFleet.PeerOffset peer -> quorum.heard(from, peer.offset());
        case ClaimAsk ask -> send(from, holder.onAsk(ask, now), now);
        case ClaimOutcome outcome -> holder.onOutcome(outcome, now);
        case ClaimSync sync ->
            holder.onSync(sync, now).ifPresent(answer -> send(from, answer, now));
        case ClaimSyncAnswer answer ->
            holder.onSyncAnswer(from, answer, now).ifPresent(next -> send(next, now));
        case ClaimAnswer answer -> {
          ClaimCoordinator coordinator = open.get(answer.attempt());
          if (coordinator != null) {
            coordinator.onAnswer(from, answer);
            decide(answer.attempt(), coordinator, now);
          }
        }
        default -> throw new IllegalStateException(message.toString());
      }
    }

    private void send(PeerMessage message, Now now) {
      send(message.to(), message.message(), now);
    }

    private void send(InstanceId to, Record message, Now now) {
      if (to.equals(node.instance)) {
        onMessage(to, message, now);
      } else {
        node.send(to, message);
      }
    }

    @Override
    public void onTick(Now now) {
      holder.tick(now).forEach(message -> send(message, now));
      Map.copyOf(open)
          .forEach(
              (attempt, coordinator) -> {
                coordinator
                    .asks(configuration.members(), now)
                    .forEach(message -> send(message, now));
                decide(attempt, coordinator, now);
              });
    }

    void arrive(OrganisationId organisation, String key, String attempt, Now now) {
      keys.put(attempt, key);
      open.put(
          attempt,
          new ClaimCoordinator(attempt, organisation, key, now.plus(Duration.ofSeconds(5)), now));
    }

    private void decide(String attempt, ClaimCoordinator coordinator, Now now) {
      boolean fresh = freshUntil.map(now::isBefore).orElse(false);
      Optional<ClaimDecision> decision = coordinator.decide(fresh, now);
      if (decision.isEmpty()) {
        return;
      }
      switch (decision.get()) {
        case ClaimDecision.Send ignored -> sendToTarget(attempt, coordinator);
        case ClaimDecision.AnswerStored ignored -> end(attempt, "stored", Outcome.NOT_RUN, now);
        case ClaimDecision.Refuse refuse ->
            end(attempt, refuse.refusal().code(), Outcome.NOT_RUN, now);
      }
    }

    // The target refuses work past its deadline. It does not run some requests, and some of its
    // answers are lost.
    private void sendToTarget(String attempt, ClaimCoordinator coordinator) {
      int fate = random.nextInt(10);
      fleet.at(
          fleet.millis() + random.nextInt(400),
          () -> {
            Now now = node.now();
            boolean runs = fate > 2 && now.isBefore(coordinator.deadline());
            if (runs) {
              ledger.run(keys.get(attempt));
            }
            Outcome outcome = runs ? Outcome.RUN : Outcome.NOT_RUN;
            if (node.isRunning() && node.process().equals(Optional.of(this))) {
              end(attempt, outcome.text(), fate > 8 ? Outcome.UNKNOWN : outcome, now);
            }
          });
    }

    private void end(String attempt, String told, Outcome outcome, Now now) {
      ledger.told.merge(told, 1, Integer::sum);
      Optional<StoredAnswer> answer =
          outcome == Outcome.RUN
              ? Optional.of(new StoredAnswer(200, "", new byte[10]))
              : Optional.empty();
      open.remove(attempt).end(outcome, answer).forEach(message -> send(message, now));
    }
  }

  private FakeFleet fleet(long seed, FakeFleet.Weather weather, Ledger ledger) {
    List<Organisation> organisations =
        ORGANISATIONS.stream().map(id -> new Organisation(id, 100, 100)).toList();
    FakeFleet fleet =
        new FakeFleet(
            seed, weather, new TeamSettings("t", organisations, List.of(), List.of(), List.of()));
    for (String id : Schedules.NODES) {
      fleet.start(
          id,
          id.substring(0, 1),
          node -> new ClaimProcess(fleet, node, ledger, seed + id.hashCode()));
    }
    return fleet;
  }

  private void arriveAt(FakeFleet fleet, long millis, int node, int key, String attempt) {
    fleet.at(
        millis,
        () -> {
          FakeFleet.Node at = fleet.node(Schedules.NODES.get(node));
          if (at.isRunning()) {
            ((ClaimProcess) at.process().orElseThrow())
                .arrive(ORGANISATIONS.get(key % 3), "key" + key, attempt, at.now());
          }
        });
  }

  @Group
  class Failures {
    @Provide
    Arbitrary<List<Schedules.Fault>> faults() {
      return Schedules.faults(3000, 24_000);
    }

    @Provide
    Arbitrary<FakeFleet.Weather> weather() {
      return Schedules.weather();
    }

    @Property(seed = "8301", tries = 150)
    void noRequestRunsTwice(
        @ForAll long seed,
        @ForAll("weather") FakeFleet.Weather weather,
        @ForAll("faults") List<Schedules.Fault> faults) {
      Ledger ledger = new Ledger();
      FakeFleet fleet = fleet(seed, weather, ledger);
      faults.forEach(fault -> Schedules.apply(fleet, fault));
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
      FakeFleet fleet = fleet(seed, new FakeFleet.Weather(0, 0, 3), ledger);
      fleet.at(12_000, () -> fleet.start("a0", "a", n -> new ClaimProcess(fleet, n, ledger, 1)));
      fleet.at(16_000, () -> fleet.leave("b1"));
      for (int key = 0; key < 60; key++) {
        arriveAt(fleet, 8000 + key * 200L, key % 7, key, "k" + key + "a0");
        arriveAt(fleet, 16_000 + key * 200L, (key + 3) % 7, key, "k" + key + "a1");
      }
      fleet.runUntil(40_000);
      Iterator<String> codes = ledger.told.keySet().iterator();
      assertThat(ledger.told.values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(120);
      while (codes.hasNext()) {
        assertThat(codes.next()).isIn(List.of("run", "stored", "not-run", "already-claimed"));
      }
    }
  }
}
