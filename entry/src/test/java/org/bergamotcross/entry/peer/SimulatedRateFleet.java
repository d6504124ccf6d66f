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
import java.util.TreeSet;
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
import org.bergamotcross.kernel.ClockReading;

/**
 * Simulates the peer tables and the rate limiters of a fleet, with injected faults.
 *
 * <p>Time is simulated; each instance has its own clock, its own view of the fleet and its own
 * requests.
 */
final class SimulatedRateFleet {
  static final OrganisationId ORGANISATION_ID = new OrganisationId("depot");

  private static final int HEARTBEAT_MS = 1_000;
  private static final int TICK_MS = 250;
  private static final int STARTUP_TICK_MS = 100;
  private static final int NEWS_DELAY_MS = 50;
  private static final int LARGE_FLEET_STEP_MS = 4;
  private static final int LINK_TIMEOUT_MS = 5_000;
  private static final int SEEDS = 3;
  private static final Duration MAX_ECHO_AGE = Duration.ofMillis(3_500);
  private static final int DOMAINS = 4;
  private static final int WAIT_CAPACITY = 1_000;
  private static final RateTolerance TOLERANCE = new RateTolerance(Duration.ofSeconds(5), 0.1, 20);

  /** A message in transit, delivered at the given time or once the receiver runs again. */
  private record Delivery(int at, long order, int from, int to, Object content) {}

  private record Relayed(int from, int to, Object content) {}

  private record LinkEnded(String address) {}

  private record HeartbeatFrom(Member sender, PeerMessages.Heartbeat heartbeat) {}

  private final List<Node> nodes = new ArrayList<>();
  private final Map<Integer, Member> directory = new TreeMap<>();
  private boolean storeUnavailable;
  private final Set<List<Integer>> cutLinks = new HashSet<>();
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>(Comparator.comparingInt(Delivery::at).thenComparingLong(Delivery::order));
  private final FrameCodec frames = new FrameCodec();
  private final PeerCodec records = new PeerCodec();
  private final Random random;
  private final int domains;
  private final int fullMeshLimit;
  private final List<Integer> admittedAt = new ArrayList<>();
  private final List<TokenOrigin> origins = new ArrayList<>();
  private double rate;
  private double burst;
  private double loss;
  private long sentMessages;
  private long incarnations;
  private int requests;
  private int refused;
  private int millis = 100_000;
  private boolean isTrafficMeasured;

  SimulatedRateFleet(int size, double rate, double burst, long seed) {
    this(size, DOMAINS, rate, burst, seed);
  }

  SimulatedRateFleet(int size, int domains, double rate, double burst, long seed) {
    this(size, domains, Integer.MAX_VALUE, rate, burst, seed);
  }

  SimulatedRateFleet(
      int size, int domains, int fullMeshLimit, double rate, double burst, long seed) {
    this.domains = domains;
    this.fullMeshLimit = fullMeshLimit;
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
            "team",
            List.of(new Organisation(ORGANISATION_ID, rate, burst)),
            List.of(),
            List.of(),
            List.of());
    return Configuration.of(1, Map.of("team", team), Set.of(), Members.NONE);
  }

  /** A machine, whose process is replaced by a new incarnation when it starts again. */
  private final class Node {
    final int index;
    boolean up;
    int frozenUntil;
    int delayMs;
    long suspendedMs;
    long wallClockOffsetMs;
    int startedAtMillis;
    private Member member;
    private PeerTable peers;
    private DelegatingRateLimiter rateLimiter;
    private FleetView fleet;
    private final Map<Integer, Integer> linksOpenedAt = new TreeMap<>();
    private int nextTickAt;
    private int nextHeartbeatAt;
    private long sentFrames;
    private long sentBytes;

    Node(int index) {
      this.index = index;
    }

    ClockReading now() {
      return new ClockReading((millis - suspendedMs) * 1_000_000L, millis + wallClockOffsetMs);
    }

    boolean runs() {
      return up && millis >= frozenUntil;
    }

    void start() {
      up = true;
      frozenUntil = millis;
      startedAtMillis = millis;
      member =
          new Member(
              id(index), ++incarnations, new FailureDomain("d" + index % domains), "host-" + index);
      peers = new PeerTable(member, 0, fullMeshLimit, MAX_ECHO_AGE, now());
      linksOpenedAt.clear();
      nextTickAt = millis;
      nextHeartbeatAt = millis;
      rateLimiter = new DelegatingRateLimiter(member.id(), WAIT_CAPACITY, TOLERANCE);
      fleet = FleetView.NONE;
      rateLimiter.configure(configuration(), now());
      readDirectory();
      for (Node other : nodes) {
        if (other.index != index && (!usesRelays() || other.index < SEEDS)) {
          send(other.index, PeerMessages.Hello.of(member, usesRelays()));
        }
      }
    }

    private boolean usesRelays() {
      return fullMeshLimit != Integer.MAX_VALUE;
    }

    void receive(int from, Object content) {
      switch (content) {
        case PeerMessages.Hello hello -> {
          boolean isNew =
              peers
                  .known()
                  .find(hello.member().id())
                  .filter(known -> known.incarnation() == hello.member().incarnation())
                  .isEmpty();
          boolean isNewOnLink = peers.known().recordIntroduction(hello, now());
          if (usesRelays()) {
            maintainLinks();
            nextTickAt = Math.min(nextTickAt, millis + NEWS_DELAY_MS);
          }
          if (hello.asksForPeers()) {
            send(from, peers.known().peerList(hello.member().id(), now()));
          }
          if (usesRelays() ? isNewOnLink : isNew) {
            rateLimiter.onPeerRestart(hello.member().id(), now());
            if (!usesRelays()) {
              send(from, PeerMessages.Hello.of(member, false));
            }
            sendHeartbeat(hello.member().id());
          }
        }
        case PeerMessages.PeerList list -> {
          peers.known().mergePeerList(id(from), list, now());
          nextTickAt = Math.min(nextTickAt, millis + NEWS_DELAY_MS);
        }
        case PeerMessages.Introductions news -> {
          peers
              .known()
              .mergeIntroductions(id(from), news.instances(), now())
              .forEach(id -> rateLimiter.onPeerRestart(id, now()));
          nextTickAt = Math.min(nextTickAt, millis + NEWS_DELAY_MS);
        }
        case Relayed relayed -> {
          if (relayed.to() == index) {
            receive(relayed.from(), relayed.content());
          } else if (linksOpenedAt.containsKey(relayed.to())) {
            send(relayed.to(), relayed);
          }
        }
        case LinkEnded link -> {
          linksOpenedAt.remove(from);
          peers.recordLinkEnded(link.address(), now());
        }
        case HeartbeatFrom message -> handleHeartbeat(message.sender(), message.heartbeat());
        case Record message -> rateLimiter.onMessage(id(from), message, now());
        default -> throw new IllegalArgumentException("unknown message " + content);
      }
    }

    void run() {
      if (usesRelays()) {
        if (millis >= nextTickAt) {
          tickWithRelays();
        }
      } else if ((millis - startedAtMillis) % TICK_MS == 0) {
        tick(millis - startedAtMillis);
      }
      // Steps of all instances in each millisecond are nearly all of the time of a large fleet.
      if (!usesRelays() || (millis + index) % LARGE_FLEET_STEP_MS == 0) {
        applyOutput(rateLimiter.step(now()));
      }
    }

    private void handleHeartbeat(Member sender, PeerMessages.Heartbeat heartbeat) {
      peers
          .recordHeartbeat(
              sender.id(), sender.incarnation(), heartbeat, member.incarnation(), now())
          .ifPresent(
              echo ->
                  rateLimiter.onDelegation(
                      sender, echo.delegation(), echo.heartbeatSentAt(), now()));
      if (peers.isPeerListDue(sender.id(), now())) {
        send(index(sender.id()), peers.known().peerList(sender.id(), now()));
      }
      if (heartbeat.echoSequence() == 0) {
        sendHeartbeat(sender.id());
      }
    }

    private void tickWithRelays() {
      peers.known().removeSilentNonMembers(now());
      PeerTable.RelayUpdate update = peers.updateRelays(now());
      maintainLinks();
      byte[] before = peers.encodedDelegation();
      boolean awaitedRegistration = fleet.awaitsRegistration();
      fleet = peers.updateFleet(now());
      rateLimiter.setOwnDelegation(fleet.delegation(), now());
      boolean isDelegationChanged =
          fleet.delegation().shares() > 0 && !Arrays.equals(before, peers.encodedDelegation());
      if (isDelegationChanged || update.isUrgent() || millis >= nextHeartbeatAt) {
        linksOpenedAt.keySet().forEach(i -> sendHeartbeat(id(i)));
        nextHeartbeatAt = millis + HEARTBEAT_MS;
      }
      peers.known().takeIntroductions(now()).forEach((id, message) -> send(index(id), message));
      rateLimiter.setPeerView(peers.reachablePeers(now()));
      if (fleet.awaitsRegistration() && !awaitedRegistration && !storeUnavailable) {
        directory.put(index, member);
        readDirectory();
      }
      nextTickAt = millis + (peers.isShareUsable() ? TICK_MS : STARTUP_TICK_MS);
    }

    private void maintainLinks() {
      Set<Integer> wanted = new TreeSet<>();
      peers.linkedAddresses(now()).keySet().forEach(id -> wanted.add(index(id)));
      if (!peers.isRelayReachable(now()) || peers.relays().view().isFullMesh()) {
        IntStream.range(0, SEEDS).filter(i -> i != index).forEach(wanted::add);
      }
      linksOpenedAt.keySet().retainAll(wanted);
      for (int other : wanted) {
        boolean isStale =
            linksOpenedAt.containsKey(other)
                && millis - linksOpenedAt.get(other) > LINK_TIMEOUT_MS
                && !peers.reachablePeers(now()).reachable().contains(id(other));
        if (isStale) {
          receive(other, new LinkEnded("host-" + other));
        }
        if (!linksOpenedAt.containsKey(other)) {
          openLink(other);
        }
      }
    }

    private void openLink(int other) {
      linksOpenedAt.put(other, millis);
      boolean isOnDemand = !peers.recordLinkOpened("host-" + other, now()) && other >= SEEDS;
      if (nodes.get(other).up) {
        send(other, PeerMessages.Hello.of(member, 0, true, other < SEEDS, isOnDemand));
      } else {
        receive(other, new LinkEnded("host-" + other));
      }
    }

    private void tick(int age) {
      peers.known().removeSilentNonMembers(now());
      byte[] before = peers.encodedDelegation();
      boolean awaitedRegistration = fleet.awaitsRegistration();
      fleet = peers.updateFleet(now());
      rateLimiter.setOwnDelegation(fleet.delegation(), now());
      boolean isDelegationChanged =
          fleet.delegation().shares() > 0 && !Arrays.equals(before, peers.encodedDelegation());
      if (isDelegationChanged || age % HEARTBEAT_MS == 0) {
        peers.known().addresses().keySet().forEach(this::sendHeartbeat);
      }
      rateLimiter.setPeerView(peers.reachablePeers(now()));
      if (fleet.awaitsRegistration() && !awaitedRegistration && !storeUnavailable) {
        directory.put(index, member);
        readDirectory();
      }
    }

    private void readDirectory() {
      if (!storeUnavailable) {
        List<Member> others =
            directory.values().stream().filter(m -> !m.id().equals(member.id())).toList();
        peers.known().applyDirectory(others, directory.containsKey(index), now());
      }
    }

    private void sendHeartbeat(InstanceId peer) {
      peers
          .nextHeartbeat(peer, 1, peers.encodedDelegation(), now())
          .ifPresent(heartbeat -> send(index(peer), new HeartbeatFrom(member, heartbeat)));
    }

    void handleRequest() {
      Organisation organisation = new Organisation(ORGANISATION_ID, rate, burst);
      ClockReading deadline = now().plus(Duration.ofSeconds(5));
      count(rateLimiter.tryAdmit("r" + requests, organisation, deadline, now()));
    }

    private void applyOutput(RateLimiterOutput output) {
      output.messages().forEach(m -> sendThroughRelay(index(m.to()), m.message()));
      output.completedWaits().forEach(wait -> count(wait.decision()));
    }

    private void sendThroughRelay(int to, Object content) {
      if (!usesRelays() || to == index || linksOpenedAt.containsKey(to)) {
        send(to, content);
      } else {
        peers
            .relays()
            .primary()
            .ifPresent(relay -> send(index(relay.id()), new Relayed(index, to, content)));
      }
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
      sentFrames++;
      sentBytes += isTrafficMeasured ? frameLength(member, content) : 0;
      boolean lost = cutLinks.contains(List.of(index, to)) || random.nextDouble() < loss;
      if (!lost) {
        int latency = index % domains == to % domains ? 1 : 2;
        int at = millis + latency + delayMs + nodes.get(to).delayMs;
        network.add(new Delivery(at, sentMessages++, index, to, content));
      }
    }
  }

  // ---- faults

  /** Kills processes; the other instances notice the closed connections at once. */
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

  /** Requests a planned stop; the process keeps serving until it is killed. */
  void requestStop(int index) {
    Node node = nodes.get(index);
    node.rateLimiter.release(node.now());
    node.peers.scheduleRelease(node.now());
  }

  /** Adds and starts a machine that no other instance knows yet. */
  void addMachine() {
    Node node = new Node(size());
    nodes.add(node);
    node.start();
  }

  /** Pauses a process while its clock runs on; messages are queued and read afterwards. */
  void freeze(int index, int forMs) {
    nodes.get(index).frozenUntil = millis + forMs;
  }

  /** Suspends a machine: its monotonic clock stops, its wall clock does not. */
  void suspend(int index, int forMs) {
    freeze(index, forMs);
    nodes.get(index).suspendedMs += forMs;
  }

  /** Steps the wall clock of a machine. */
  void stepWallClock(int index, int byMs) {
    nodes.get(index).wallClockOffsetMs += byMs;
  }

  /** Delays every message that a machine sends or receives. */
  void delay(int index, int delayMs) {
    nodes.get(index).delayMs = delayMs;
  }

  void setMessageLoss(double fraction) {
    loss = fraction;
  }

  /** Enables or drops the messages from one machine to another. */
  void setLink(int from, int to, boolean up) {
    if (up) {
      cutLinks.remove(List.of(from, to));
    } else {
      cutLinks.add(List.of(from, to));
    }
  }

  void setPartition(List<Integer> ones, List<Integer> others, boolean partitioned) {
    for (int one : ones) {
      for (int other : others) {
        if (one != other) {
          setLink(one, other, !partitioned);
          setLink(other, one, !partitioned);
        }
      }
    }
  }

  /** Resets all connections between the machines; they reconnect at once. */
  void resetConnections() {
    for (Node node : nodes) {
      for (Node other : nodes) {
        if (other.index != node.index && node.up) {
          node.receive(other.index, new LinkEnded("host-" + other.index));
          if (node.usesRelays()) {
            node.nextTickAt = millis;
          } else {
            node.send(other.index, PeerMessages.Hello.of(node.member, false));
          }
        }
      }
    }
  }

  /** Makes the directory of instances unavailable for reads and writes, or available again. */
  void setStoreUnavailable(boolean unavailable) {
    storeUnavailable = unavailable;
  }

  /** Applies a new limit to all running instances at the same time. */
  void setLimit(double newRate, double newBurst) {
    rate = newRate;
    burst = newBurst;
    nodes.stream()
        .filter(n -> n.up)
        .forEach(n -> n.rateLimiter.configure(configuration(), n.now()));
  }

  // ---- time and requests

  /** Advances the simulation with requests at the given rate, spread over the running machines. */
  void advance(int forMs, double perSecond) {
    int end = millis + forMs;
    double pending = 0;
    while (millis < end) {
      for (pending += perSecond / 1_000; pending >= 1; pending--) {
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
        node.handleRequest();
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

  // ---- results

  private int frameLength(Member sender, Object content) {
    return switch (content) {
      case HeartbeatFrom message -> frameLength(sender, frames.encode(message.heartbeat()));
      case Relayed relayed -> frameLength(sender, relayed.content());
      case Record message -> frameLength(sender, records.encode(message));
      default -> 0;
    };
  }

  private int frameLength(Member sender, byte[] body) {
    Envelope envelope = new Envelope("beat", sender.id().value(), sender.incarnation(), body);
    return Integer.BYTES + frames.encode(envelope).length;
  }

  /** The frames and bytes that an instance sends in a time. */
  record Traffic(long frames, long bytes) {}

  /** Advances the simulation without requests and returns the most that a leaf sends meanwhile. */
  Traffic maxLeafTraffic(int forMs) {
    nodes.forEach(node -> node.sentFrames = 0);
    nodes.forEach(node -> node.sentBytes = 0);
    isTrafficMeasured = true;
    advance(forMs, 0);
    isTrafficMeasured = false;
    List<Node> leaves = nodes.stream().filter(n -> !n.peers.relays().isRelaying()).toList();
    return new Traffic(
        leaves.stream().mapToLong(node -> node.sentFrames).max().orElseThrow(),
        leaves.stream().mapToLong(node -> node.sentBytes).max().orElseThrow());
  }

  /** Returns the number of instances that relay. */
  long relayCount() {
    return nodes.stream().filter(node -> node.peers.relays().isRelaying()).count();
  }

  /** Returns whether all running instances use their share and see the same relays. */
  boolean isSettled() {
    List<Node> running = nodes.stream().filter(Node::runs).toList();
    return running.stream().allMatch(node -> node.peers.isShareUsable())
        && running.stream().map(node -> node.peers.relays().view()).distinct().count() == 1;
  }

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

  void clearAdmitted() {
    admittedAt.clear();
    origins.clear();
  }

  /** Returns the maximum number of requests admitted within any window of the given length. */
  int maxAdmittedInWindow(int windowMs) {
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

  /** Returns the instance whose token bucket granted the most tokens within the last second. */
  int busiestHolder() {
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
