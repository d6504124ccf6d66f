package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.entry.StatusSource.Status;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.RingOfferResult;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.bergamotcross.kernel.TimeSource;

/**
 * Simulates a fleet: runs the config duties of several instances in simulated time, with injected
 * faults.
 */
final class SimulatedFleet implements AutoCloseable {
  private static final long STEP_MILLIS = 10;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

  final SimulatedLog log = new SimulatedLog();
  final Map<String, Instance> instances = new LinkedHashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private long millis = 1_000_000;
  private long incarnations;

  /** A simulated process, with the latest values that its config duty has published. */
  final class Instance {
    final Member member;
    final Kernel kernel;
    final ConfigDuty duty;
    final Deque<ConfigMessage> inbox = new ArrayDeque<>();
    final Map<String, ClockReading> receivedHeartbeats = new HashMap<>();
    boolean paused;
    long wallShift;
    Configuration configuration = Configuration.EMPTY;
    Optional<Broadcasts.Freshness> freshness = Optional.empty();
    Optional<Status> status = Optional.empty();
    private long nextTick;

    Instance(String id) {
      member =
          new Member(
              new InstanceId(id), ++incarnations, new FailureDomain("d-" + id), "127.0.0.1:1");
      SettingsResult settings = Settings.parse("none.ini", "", List.of(), List.of());
      kernel =
          new Kernel(List.of(), ((SettingsResult.Loaded) settings).settings(), TimeSource.system());
      kernel.context().subscribe(Broadcasts.CONFIGURATION, c -> configuration = c);
      kernel.context().subscribe(Broadcasts.FRESHNESS, f -> freshness = Optional.of(f));
      duty =
          new ConfigDuty(
              member,
              kernel.context(),
              log.client(id),
              exchange(member),
              inbox::add,
              s -> status = Optional.of(s));
    }

    ClockReading now() {
      return new ClockReading(millis * 1_000_000L, millis + wallShift);
    }

    boolean isFresh() {
      return freshness.isPresent() && now().isBefore(freshness.get().validUntil());
    }

    long offset() {
      return configuration.offset();
    }

    private void step() {
      while (!inbox.isEmpty()) {
        duty.onMessage(inbox.remove(), now());
      }
      if (millis >= nextTick) {
        nextTick = millis + duty.onTick(now()).toMillis();
      }
    }
  }

  SimulatedFleet(String... ids) {
    for (String id : ids) {
      start(id);
    }
  }

  Instance start(String id) {
    stop(id);
    Instance instance = new Instance(id);
    instances.put(id, instance);
    return instance;
  }

  void stop(String id) {
    Instance old = instances.remove(id);
    if (old != null) {
      old.kernel.close();
    }
  }

  Instance get(String id) {
    return instances.get(id);
  }

  /** Cuts or restores the link from one instance to another, in this direction only. */
  void setLink(String from, String to, boolean up) {
    if (up) {
      cutLinks.remove(from + ">" + to);
    } else {
      cutLinks.add(from + ">" + to);
    }
  }

  void setPeersCut(String id, boolean cut) {
    for (String other : instances.keySet()) {
      setLink(id, other, !cut);
      setLink(other, id, !cut);
    }
  }

  void run(Duration time) {
    run(time, () -> {});
  }

  /** Advances the simulated time and calls the check after each step. */
  void run(Duration time, Runnable check) {
    long end = millis + time.toMillis();
    while (millis < end) {
      millis += STEP_MILLIS;
      log.advance(millis);
      for (Instance instance : List.copyOf(instances.values())) {
        if (!instance.paused) {
          instance.step();
        }
      }
      if (millis % HEARTBEAT_INTERVAL_MILLIS == 0) {
        exchangeHeartbeats();
      }
      check.run();
    }
  }

  boolean allHave(long offset) {
    return instances.values().stream().allMatch(i -> i.offset() >= offset);
  }

  private void exchangeHeartbeats() {
    for (Instance from : instances.values()) {
      for (Instance to : instances.values()) {
        if (from != to && !from.paused && isUp(from, to)) {
          to.receivedHeartbeats.put(from.member.id().value(), from.now());
          ClockReading echoed = from.receivedHeartbeats.get(to.member.id().value());
          if (echoed != null) {
            to.inbox.add(
                new ConfigMessage.HeartbeatsEchoed(
                    new Broadcasts.HeartbeatEchoes(
                        List.of(
                            new Broadcasts.HeartbeatEcho(
                                from.member, echoed, from.offset(), Delegation.NONE)))));
          }
        }
      }
    }
  }

  private boolean isUp(Instance from, Instance to) {
    return !cutLinks.contains(from.member.id() + ">" + to.member.id());
  }

  private PeerExchange exchange(Member self) {
    return new PeerExchange() {
      @Override
      public <T extends Record> void handle(String kind, Class<T> type, Handler<T> handler) {}

      @Override
      public RingOfferResult send(InstanceId to, String kind, Record message) {
        Instance from = instances.get(self.id().value());
        Instance receiver = instances.get(to.value());
        if (from != null && receiver != null && isUp(from, receiver)) {
          receiver.inbox.add(
              new ConfigMessage.CatchUpMessageReceived(
                  new Sender(self.id(), self.incarnation()), (CatchUpMessage) message));
        }
        return new RingOfferResult.Accepted();
      }

      @Override
      public void sendAll(String kind, Record message) {
        instances.values().forEach(i -> send(i.member.id(), kind, message));
      }

      @Override
      public long incarnation() {
        return self.incarnation();
      }
    };
  }

  @Override
  public void close() {
    instances.values().forEach(instance -> instance.kernel.close());
  }
}
