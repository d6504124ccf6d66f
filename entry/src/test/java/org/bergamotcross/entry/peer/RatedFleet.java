package org.bergamotcross.entry.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.bergamotcross.core.admission.DelegatingRateLimiter;
import org.bergamotcross.core.admission.RateDecision;
import org.bergamotcross.core.admission.RateLimiterOutput;
import org.bergamotcross.core.admission.RateTolerance;
import org.bergamotcross.core.admission.TokenOrigin;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.kernel.Now;

/**
 * Runs the peer tables and the rates of a fleet in simulated time, with faults between them.
 *
 * <p>Every instance has its own clock, its own view of the others and its own requests.
 */
final class RatedFleet {
  static final OrganisationId ID = new OrganisationId("depot");

  private static final int BEAT_MS = 1_000;
  private static final int TICK_MS = 250;
  private static final Duration HEARD_WITHIN = Duration.ofMillis(3_500);
  private static final int DOMAINS = 4;
  private static final int WAIT_CAPACITY = 1_000;
  private static final RateTolerance TOLERANCE = new RateTolerance(Duration.ofSeconds(5), 0.1, 20);

  /** A message that arrives at a time, or later when the receiver does not run then. */
  private record Delivery(int at, long order, int from, int to, Object content) {}

  private record Hello(Member member) {}

  private record LinkEnded(String address) {}

  private record BeatFrom(Member sender, PeerMessages.Beat beat) {}

  private final List<Node> nodes = new ArrayList<>();
  private final Map<Integer, Member> directory = new TreeMap<>();
  private boolean storeAway;
  private final Set<List<Integer>> cutLinks = new HashSet<>();
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>(Comparator.comparingInt(Delivery::at).thenComparingLong(Delivery::order));
  private final Random random;
  private final int domains;
  private final List<Integer> admittedAt = new ArrayList<>();
  private final List<TokenOrigin> origins = new ArrayList<>();
  private double rate;
  private double burst;
  private double loss;
  private long sent;
  private long incarnations;
  private int requests;
  private int refused;
  private int millis = 100_000;

  RatedFleet(int size, double rate, double burst, long seed) {
    this(size, DOMAINS, rate, burst, seed);
  }

  RatedFleet(int size, int domains, double rate, double burst, long seed) {
    this.domains = domains;
    this.rate = rate;
    this.burst = burst;
    this.random = new Random(seed);
    for (int i = 0; i < size; i++) {
      nodes.add(new Node(i));
    }
    nodes.forEach(Node::start);
  }

  private static InstanceId id(int index) {
    return new InstanceId("entry-" + index);
  }

  private static int index(InstanceId id) {
    return Integer.parseInt(id.value().substring("entry-".length()));
  }

  private Configuration configuration() {
    TeamSettings team =
        new TeamSettings(
            "team", List.of(new Organisation(ID, rate, burst)), List.of(), List.of(), List.of());
    return Configuration.of(1, Map.of("team", team), Set.of(), Members.NONE);
  }

  /** One machine; its process is replaced when it starts again. */
  private final class Node {
    final int index;
    boolean up;
    int frozenUntil;
    int slowMs;
    long lostClockMs;
    long wallShiftMs;
    int ticksFrom;
    private Member member;
    private PeerTable peers;
    private DelegatingRateLimiter rates;
    private FleetView fleet;

    Node(int index) {
      this.index = index;
    }

    Now now() {
      return new Now((millis - lostClockMs) * 1_000_000L, millis + wallShiftMs);
    }

    boolean runs() {
      return up && millis >= frozenUntil;
    }

    void start() {
      up = true;
      frozenUntil = millis;
      ticksFrom = millis;
      member =
          new Member(
              id(index), ++incarnations, new FailureDomain("d" + index % domains), "host-" + index);
      peers = new PeerTable(member, now());
      rates = new DelegatingRateLimiter(member.id(), WAIT_CAPACITY, TOLERANCE);
      fleet = FleetView.NONE;
      rates.configure(configuration(), now());
      readDirectory();
      for (Node other : nodes) {
        if (other.index != index) {
          send(other.index, new Hello(member));
        }
      }
    }

    void receive(int from, Object content) {
      switch (content) {
        case Hello hello -> {
          boolean isNew =
              peers
                  .find(hello.member().id())
                  .filter(known -> known.incarnation() == hello.member().incarnation())
                  .isEmpty();
          peers.introduce(hello.member(), now());
          if (isNew) {
            rates.onPeerRestart(hello.member().id(), now());
            send(from, new Hello(member));
            sendBeat(hello.member().id());
          }
        }
        case LinkEnded link -> peers.ended(link.address());
        case BeatFrom beat -> heard(beat.sender(), beat.beat());
        case Record message -> rates.onMessage(id(from), message, now());
        default -> throw new IllegalArgumentException("unknown message " + content);
      }
    }

    void run() {
      int age = millis - ticksFrom;
      if (age % TICK_MS == 0) {
        tick(age);
      }
      take(rates.step(now()));
    }

    private void heard(Member sender, PeerMessages.Beat beat) {
      peers
          .heard(sender.id(), sender.incarnation(), beat, member.incarnation(), now())
          .ifPresent(
              echo -> rates.onDelegation(sender, echo.delegation(), echo.beatSentAt(), now()));
      if (beat.echoSequence() == 0) {
        sendBeat(sender.id());
      }
    }

    private void tick(int age) {
      peers.forgetSilent(now());
      byte[] before = peers.encodedDelegation();
      boolean awaited = fleet.awaitsRegistration();
      fleet = peers.fleet(now());
      rates.setOwnDelegation(fleet.delegation(), now());
      boolean delegatesAnew =
          fleet.delegation().shares() > 0 && !Arrays.equals(before, peers.encodedDelegation());
      if (delegatesAnew || age % BEAT_MS == 0) {
        peers.addresses().keySet().forEach(this::sendBeat);
      }
      rates.setPeerView(peers.view(HEARD_WITHIN, now()));
      if (fleet.awaitsRegistration() && !awaited && !storeAway) {
        directory.put(index, member);
        readDirectory();
      }
    }

    private void readDirectory() {
      if (!storeAway) {
        List<Member> others =
            directory.values().stream().filter(m -> !m.id().equals(member.id())).toList();
        peers.list(others, directory.containsKey(index), now());
      }
    }

    private void sendBeat(InstanceId peer) {
      peers
          .nextBeat(peer, 1, now())
          .ifPresent(beat -> send(index(peer), new BeatFrom(member, beat)));
    }

    void arrive() {
      Organisation organisation = new Organisation(ID, rate, burst);
      Now deadline = now().plus(Duration.ofSeconds(5));
      count(rates.tryAdmit("r" + requests, organisation, deadline, now()));
    }

    private void take(RateLimiterOutput step) {
      step.messages().forEach(m -> send(index(m.to()), m.message()));
      step.completedWaits().forEach(ended -> count(ended.decision()));
    }

    private void count(RateDecision decision) {
      switch (decision) {
        case RateDecision.Admitted admitted -> {
          admittedAt.add(millis);
          origins.add(admitted.origin());
        }
        case RateDecision.Refused ignored -> refused++;
        case RateDecision.Queued ignored -> {}
      }
    }

    private void send(int to, Object content) {
      boolean lost = cutLinks.contains(List.of(index, to)) || random.nextDouble() < loss;
      if (!lost) {
        int travel = index % domains == to % domains ? 1 : 2;
        int at = millis + travel + slowMs + nodes.get(to).slowMs;
        network.add(new Delivery(at, sent++, index, to, content));
      }
    }
  }

  // ---- faults

  /** Ends processes; the connections of the others to them end at once. */
  void kill(List<Integer> indexes) {
    indexes.forEach(i -> nodes.get(i).up = false);
    for (Node other : nodes) {
      if (other.up) {
        indexes.forEach(i -> other.receive(i, new LinkEnded("host-" + i)));
      }
    }
  }

  void start(int index) {
    nodes.get(index).start();
  }

  /** Tells a process to stop; it serves on until it is killed. */
  void stop(int index) {
    Node node = nodes.get(index);
    node.rates.release(node.now());
    node.peers.stop(node.now());
  }

  /** Adds a machine, which nobody knows yet. */
  void add() {
    Node node = new Node(size());
    nodes.add(node);
    node.start();
  }

  /** A process does not run but its clock does; what arrives meanwhile is read afterwards. */
  void freeze(int index, int forMs) {
    nodes.get(index).frozenUntil = millis + forMs;
  }

  /** A machine is suspended: its steady clock stands still, the time of day does not. */
  void suspend(int index, int forMs) {
    freeze(index, forMs);
    nodes.get(index).lostClockMs += forMs;
  }

  /** Steps the time of day of a machine. */
  void stepClock(int index, int byMs) {
    nodes.get(index).wallShiftMs += byMs;
  }

  /** Delays everything that a machine sends and receives. */
  void slow(int index, int byMs) {
    nodes.get(index).slowMs = byMs;
  }

  void lose(double share) {
    loss = share;
  }

  /** Drops what one machine sends to another, or no longer does. */
  void link(int from, int to, boolean up) {
    if (up) {
      cutLinks.remove(List.of(from, to));
    } else {
      cutLinks.add(List.of(from, to));
    }
  }

  void cut(List<Integer> ones, List<Integer> others, boolean cut) {
    for (int one : ones) {
      for (int other : others) {
        if (one != other) {
          link(one, other, !cut);
          link(other, one, !cut);
        }
      }
    }
  }

  /** Ends all connections between the machines; they are opened again at once. */
  void resetConnections() {
    for (Node node : nodes) {
      for (Node other : nodes) {
        if (other.index != node.index && node.up) {
          node.receive(other.index, new LinkEnded("host-" + other.index));
          node.send(other.index, new Hello(node.member));
        }
      }
    }
  }

  /** The directory of instances can't be read or written, or can be again. */
  void storeAway(boolean away) {
    storeAway = away;
  }

  /** Puts another limit in force everywhere at once. */
  void limit(double newRate, double newBurst) {
    rate = newRate;
    burst = newBurst;
    nodes.stream().filter(n -> n.up).forEach(n -> n.rates.configure(configuration(), n.now()));
  }

  // ---- time and requests

  /** Lets time pass; requests arrive at the given rate, spread over the machines that are up. */
  void run(int forMs, double perSecond) {
    int end = millis + forMs;
    double due = 0;
    while (millis < end) {
      for (due += perSecond / 1_000; due >= 1; due--) {
        arrive();
      }
      deliver();
      nodes.stream().filter(Node::runs).forEach(Node::run);
      millis++;
    }
  }

  private void arrive() {
    requests++;
    int preferred = requests * 7 % size();
    for (int i = 0; i < size(); i++) {
      Node node = nodes.get((preferred + i) % size());
      if (node.runs()) {
        node.arrive();
        return;
      }
    }
  }

  private void deliver() {
    List<Delivery> later = new ArrayList<>();
    while (!network.isEmpty() && network.peek().at() <= millis) {
      Delivery delivery = network.poll();
      Node to = nodes.get(delivery.to());
      if (to.runs()) {
        to.receive(delivery.from(), delivery.content());
      } else if (to.up) {
        later.add(
            new Delivery(
                to.frozenUntil,
                delivery.order(),
                delivery.from(),
                delivery.to(),
                delivery.content()));
      }
    }
    network.addAll(later);
  }

  // ---- what callers got

  int size() {
    return nodes.size();
  }

  int requests() {
    return requests;
  }

  int refused() {
    return refused;
  }

  int admitted() {
    return admittedAt.size();
  }

  void forgetAdmitted() {
    admittedAt.clear();
    origins.clear();
  }

  /** Returns the most requests that were admitted within a window. */
  int mostAdmitted(int windowMs) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < admittedAt.size(); last++) {
      while (admittedAt.get(last) - admittedAt.get(first) > windowMs) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Returns the instance whose bucket gave the most tokens within the last second. */
  int owner() {
    Map<InstanceId, Long> tokens =
        IntStream.range(0, admittedAt.size())
            .filter(i -> admittedAt.get(i) >= millis - 1_000)
            .mapToObj(origins::get)
            .flatMap(origin -> origin instanceof TokenOrigin.Bucket b ? Stream.of(b) : Stream.of())
            .collect(Collectors.groupingBy(TokenOrigin.Bucket::instance, Collectors.counting()));
    return tokens.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(most -> index(most.getKey()))
        .orElseThrow();
  }
}
