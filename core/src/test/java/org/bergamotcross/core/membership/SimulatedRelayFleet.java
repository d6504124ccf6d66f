package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bergamotcross.kernel.ClockReading;

/**
 * Simulates the rosters, relay plans and delegations of a fleet that exchanges only heartbeats and
 * lists of peers, with injected faults.
 *
 * <p>A heartbeat carries a digest of the counted instances; that of an instance with subscribers
 * also tells which instances answer it and which of them have its digest. An instance goes on to
 * send heartbeats to the relays that it would select if all answered, and so notices when one is
 * back. Messages between two incarnations arrive in order. All instances share one clock.
 */
final class SimulatedRelayFleet {
  static final int STEP_MS = 50;

  private static final String ORGANISATION = "depot";
  private static final int FULL_MESH_LIMIT = 24;
  private static final int TICK_MS = 250;
  private static final int HEARTBEAT_MS = 1_000;
  private static final int LIST_INTERVAL_MS = 500;
  private static final Duration PASSED_OVER = Duration.ofSeconds(60);

  private sealed interface Message {}

  private record RelayReport(BitSet answering, BitSet agreeing) {}

  private record Heartbeat(
      Member sender,
      long sequence,
      long echoIncarnation,
      long echoSequence,
      boolean wantsLink,
      long digest,
      Delegation delegation,
      Optional<RelayReport> report)
      implements Message {}

  private record PeerList(List<Member> peers, boolean complete, boolean registered)
      implements Message {}

  private record Delivery(int at, long order, int to, long toIncarnation, Message message) {}

  private record Lease(Delegation delegation, ClockReading until) {}

  private final List<Node> nodes = new ArrayList<>();
  private final Map<Integer, Member> directory = new TreeMap<>();
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>(Comparator.comparingInt(Delivery::at).thenComparingLong(Delivery::order));
  private final Map<List<Long>, Integer> lastDeliveryAt = new HashMap<>();
  private final Random random;
  private final int domains;
  private Set<Integer> partitioned = Set.of();
  private Set<Integer> cutPair = Set.of();
  private double loss;
  private int maxDelayMs = 10;
  private long sentMessages;
  private long incarnations;
  private int millis = 100_000;

  SimulatedRelayFleet(int size, int domains, long seed) {
    this.domains = domains;
    this.random = new Random(seed);
    for (int i = 0; i < size; i++) {
      addMachine();
    }
  }

  private static int index(InstanceId id) {
    return Integer.parseInt(id.value().substring("entry-".length()));
  }

  private ClockReading now() {
    return ClockReading.ofMillis(millis);
  }

  /** A machine, whose process is replaced by a new incarnation when it starts again. */
  private final class Node {
    private final int index;
    private boolean up;
    private int startedAt;
    private int readDirectoryAt;
    private int registerAt;
    private boolean awaitedRegistration;
    private Member member;
    private Roster roster;
    private DelegationPlan plan;
    private RelayPlan relayPlan;
    private RelayPlan preferredPlan;
    private RelayView relays;
    private RelayView preferred;
    private Delegation delegation;
    private Map<InstanceId, SimulatedLink> links;
    private Map<InstanceId, Lease> leases;

    Node(int index) {
      this.index = index;
    }

    void start() {
      up = true;
      startedAt = millis;
      InstanceId id = new InstanceId("entry-" + index);
      FailureDomain domain = new FailureDomain("d" + index % domains);
      member = new Member(id, ++incarnations, domain, "host-" + index);
      roster = new Roster(member, now());
      plan = new DelegationPlan(id);
      relayPlan = new RelayPlan(FULL_MESH_LIMIT);
      preferredPlan = new RelayPlan(FULL_MESH_LIMIT);
      relays = RelayView.FULL_MESH;
      preferred = RelayView.FULL_MESH;
      delegation = Delegation.NONE;
      links = new HashMap<>();
      leases = new HashMap<>();
      awaitedRegistration = false;
      readDirectoryAt = millis + storeDelay();
      registerAt = Integer.MAX_VALUE;
    }

    private int storeDelay() {
      return STEP_MS * (1 + random.nextInt(6));
    }

    void run() {
      if (millis >= registerAt) {
        registerAt = Integer.MAX_VALUE;
        directory.put(index, member);
        readDirectoryAt = millis + storeDelay();
      }
      if (millis >= readDirectoryAt) {
        readDirectoryAt = Integer.MAX_VALUE;
        List<Member> others =
            directory.values().stream().filter(m -> !m.id().equals(member.id())).toList();
        roster.applyDirectory(others, directory.containsKey(index), now());
      }
      if ((millis - startedAt) % TICK_MS == 0) {
        tick();
      }
    }

    private void tick() {
      relays = selectRelays(relayPlan, this::isEligible);
      preferred = selectRelays(preferredPlan, id -> true);
      tryRelays();
      List<SimulatedLink> answered =
          links.values().stream().filter(l -> l.isAnswered(now())).toList();
      Set<InstanceId> alive = new HashSet<>();
      answered.forEach(link -> alive.add(link.member.id()));
      answered.forEach(link -> alive.addAll(link.reported));
      alive.removeIf(id -> !roster.contains(id));
      roster.update(alive.size(), now());
      Delegation before = delegation;
      int shares = roster.isShareUsable() ? roster.size() : 0;
      delegation = plan.update(holderCandidates(answered), this::planState, shares, now());
      boolean isChanged = shares > 0 && !delegation.equals(before);
      if (isChanged || (millis - startedAt) % HEARTBEAT_MS == 0) {
        recipients().forEach(this::sendHeartbeat);
      }
      if (roster.awaitsRegistration() && !awaitedRegistration) {
        registerAt = millis + storeDelay();
      }
      awaitedRegistration = roster.awaitsRegistration();
    }

    private RelayView selectRelays(RelayPlan selection, Predicate<InstanceId> isEligible) {
      return selection.update(
          roster.members().stream()
              .map(m -> new RelayPlan.Candidate(m, index(m.id()) % 3, isEligible.test(m.id())))
              .toList());
    }

    /** Passes over instances that were tried without an answer. */
    private boolean isEligible(InstanceId id) {
      SimulatedLink link = links.get(id);
      return link == null
          || link.isAnswered(now())
          || link.triedSince
              .filter(at -> now().since(at).compareTo(SimulatedLink.MAX_ECHO_AGE) > 0)
              .isEmpty();
    }

    private void tryRelays() {
      for (SimulatedLink link : links.values()) {
        InstanceId id = link.member.id();
        if (wantsLink(id)) {
          link.triedSince = link.triedSince.or(() -> Optional.of(now()));
        } else {
          link.triedSince =
              link.triedSince.filter(at -> now().since(at).compareTo(PASSED_OVER) < 0);
        }
      }
    }

    private List<Member> holderCandidates(List<SimulatedLink> answered) {
      List<Member> candidates =
          answered.stream()
              .map(link -> link.member)
              .filter(m -> roster.contains(m.id()))
              .filter(m -> relays.isFullMesh() || relays.contains(m.id()))
              .collect(Collectors.toCollection(ArrayList::new));
      if (relays.isFullMesh() || relays.contains(member.id()) || candidates.isEmpty()) {
        candidates.add(member);
      }
      return candidates;
    }

    private Optional<DelegationPlan.PeerState> planState(InstanceId id) {
      return id.equals(member.id())
          ? Optional.of(new DelegationPlan.PeerState(now(), plan.version(), false))
          : Optional.ofNullable(links.get(id))
              .map(l -> new DelegationPlan.PeerState(l.lastHeardAt, l.confirmedVersion, false));
    }

    private boolean wantsLink(InstanceId id) {
      return relays.isFullMesh() || relays.contains(id) || preferred.contains(id);
    }

    private Set<Member> recipients() {
      Set<Member> recipients =
          links.values().stream()
              .filter(link -> link.isSubscriber(now()))
              .map(link -> link.member)
              .collect(Collectors.toSet());
      roster.members().stream()
          .filter(m -> wantsLink(m.id()) && !m.id().equals(member.id()))
          .filter(m -> !links.containsKey(m.id()) || !recipients.contains(links.get(m.id()).member))
          .forEach(recipients::add);
      return recipients;
    }

    private void sendHeartbeat(Member to) {
      SimulatedLink link = links.computeIfAbsent(to.id(), id -> new SimulatedLink(to, now()));
      link.sent.addLast(new SimulatedLink.Sent(++link.sentSequence, plan.version(), now()));
      if (link.sent.size() > 32) {
        link.sent.removeFirst();
      }
      send(
          index(to.id()),
          new Heartbeat(
              member,
              link.sentSequence,
              link.member.incarnation(),
              link.receivedSequence,
              wantsLink(to.id()),
              roster.digest(),
              delegation,
              relayReport()));
    }

    private Optional<RelayReport> relayReport() {
      boolean relaysMessages =
          relays.contains(member.id())
              || links.values().stream().anyMatch(link -> link.isSubscriber(now()));
      return relays.isFullMesh() || !relaysMessages
          ? Optional.empty()
          : Optional.of(
              new RelayReport(
                  positions(link -> link.isAnswered(now())),
                  positions(l -> l.isAnswered(now()) && l.digest == roster.digest())));
    }

    private BitSet positions(Predicate<SimulatedLink> isIncluded) {
      BitSet positions = new BitSet();
      List<Member> members = roster.members();
      for (int i = 0; i < members.size(); i++) {
        SimulatedLink link = links.get(members.get(i).id());
        positions.set(i, link != null && isIncluded.test(link));
      }
      return positions;
    }

    void receive(Message message) {
      switch (message) {
        case Heartbeat heartbeat -> handleHeartbeat(heartbeat);
        case PeerList list -> handlePeerList(list);
      }
    }

    private void handlePeerList(PeerList list) {
      List<Member> others = list.peers().stream().filter(m -> !m.id().equals(member.id())).toList();
      if (list.complete() && !roster.isDirectoryKnown()) {
        roster.applyDirectory(others, list.registered(), now());
      }
      others.stream().filter(m -> !roster.contains(m.id())).forEach(m -> roster.add(m, now()));
    }

    private void handleHeartbeat(Heartbeat heartbeat) {
      Member sender = heartbeat.sender();
      SimulatedLink link =
          links.computeIfAbsent(sender.id(), id -> new SimulatedLink(sender, now()));
      if (sender.incarnation() < link.member.incarnation()) {
        return;
      }
      if (sender.incarnation() > link.member.incarnation()) {
        link.restart(sender);
        leases.remove(sender.id());
      }
      roster.add(sender, now());
      link.lastHeardAt = now();
      link.receivedSequence = Math.max(link.receivedSequence, heartbeat.sequence());
      link.wantedAt = heartbeat.wantsLink() ? Optional.of(now()) : Optional.empty();
      link.digest = heartbeat.digest();
      boolean isSameRoster = heartbeat.digest() == roster.digest();
      if (!isSameRoster) {
        sendPeerList(link);
      }
      if (heartbeat.echoIncarnation() == member.incarnation()) {
        recordEcho(link, heartbeat, isSameRoster);
      }
      heartbeat.report().filter(report -> isSameRoster).ifPresent(report -> apply(report, link));
      if (heartbeat.echoSequence() == 0) {
        sendHeartbeat(sender);
      }
    }

    private void sendPeerList(SimulatedLink link) {
      if (millis >= link.nextListAt) {
        link.nextListAt = millis + LIST_INTERVAL_MS;
        InstanceId id = link.member.id();
        send(
            index(id),
            new PeerList(roster.members(), roster.isShareUsable(), roster.isRegistered(id)));
      }
    }

    private void recordEcho(SimulatedLink link, Heartbeat heartbeat, boolean isSameRoster) {
      link.sent.stream()
          .filter(sent -> sent.sequence() == heartbeat.echoSequence())
          .findFirst()
          .ifPresent(
              sent -> {
                link.echoedSentAt = Optional.of(sent.at());
                link.confirmedVersion = Math.max(link.confirmedVersion, sent.planVersion());
                roster.recordAcknowledgement(link.member.id());
                roster.recordAlive(List.of(link.member.id()), now());
                // Positions of holders and the size of a share mean nothing with another roster.
                Delegation received = heartbeat.delegation();
                int shares = received.shares() == 0 || !isSameRoster ? 0 : roster.size();
                leases.put(
                    link.member.id(),
                    new Lease(
                        new Delegation(shares, received.candidates(), received.settling()),
                        sent.at().plus(DelegationPlan.LEASE_DURATION)));
              });
    }

    private void apply(RelayReport report, SimulatedLink link) {
      link.reported = ids(report.answering());
      roster.recordAlive(link.reported, now());
      roster.recordAcknowledgements(ids(report.agreeing()));
    }

    private Set<InstanceId> ids(BitSet positions) {
      return positions.stream()
          .mapToObj(i -> roster.members().get(i).id())
          .filter(id -> !id.equals(member.id()))
          .collect(Collectors.toSet());
    }

    private void send(int to, Message message) {
      Node receiver = nodes.get(to);
      boolean isCut =
          partitioned.contains(index) != partitioned.contains(to)
              || (cutPair.contains(index) && cutPair.contains(to));
      if (isCut || !receiver.up || random.nextDouble() < loss) {
        return;
      }
      List<Long> pair = List.of(member.incarnation(), receiver.member.incarnation());
      int at =
          Math.max(millis + 1 + random.nextInt(maxDelayMs), lastDeliveryAt.getOrDefault(pair, 0));
      lastDeliveryAt.put(pair, at);
      network.add(new Delivery(at, sentMessages++, to, receiver.member.incarnation(), message));
    }

    private double heldFraction() {
      Stream<Delegation> held =
          leases.values().stream()
              .filter(lease -> now().isBefore(lease.until()))
              .map(Lease::delegation);
      return Stream.concat(held, Stream.of(delegation))
          .mapToDouble(d -> d.rateFraction(ORGANISATION, member.id()))
          .sum();
    }
  }

  // ---- faults

  void addMachine() {
    Node node = new Node(nodes.size());
    nodes.add(node);
    node.start();
  }

  void kill(int index) {
    nodes.get(index).up = false;
  }

  void start(int index) {
    nodes.get(index).start();
  }

  boolean isUp(int index) {
    return nodes.get(index).up;
  }

  /** Cuts some machines off from all others, or none. */
  void partition(Set<Integer> indexes) {
    partitioned = indexes;
  }

  /** Drops the messages between two machines, instead of those between an earlier pair. */
  void cutLink(int one, int other) {
    cutPair = Set.of(one, other);
  }

  Set<Integer> machinesOf(int domain) {
    return nodes.stream()
        .map(node -> node.index)
        .filter(index -> index % domains == domain)
        .collect(Collectors.toSet());
  }

  void setMessageFaults(double lossFraction, int newMaxDelayMs) {
    loss = lossFraction;
    maxDelayMs = newMaxDelayMs;
  }

  // ---- time

  void step() {
    while (!network.isEmpty() && network.peek().at() <= millis) {
      Delivery delivery = network.poll();
      Node to = nodes.get(delivery.to());
      if (to.up && to.member.incarnation() == delivery.toIncarnation()) {
        to.receive(delivery.message());
      }
    }
    nodes.stream().filter(node -> node.up).forEach(Node::run);
    millis += STEP_MS;
  }

  // ---- results

  int size() {
    return nodes.size();
  }

  /** Returns the relays as one running instance sees them. */
  List<Integer> relays() {
    return nodes.stream()
        .filter(node -> node.up)
        .findFirst()
        .map(node -> node.relays.relays().stream().map(relay -> index(relay.id())).toList())
        .orElse(List.of());
  }

  /** Returns the largest number of peers to which an instance that is no relay sends heartbeats. */
  int maxLinksOfOthers() {
    return nodes.stream()
        .filter(node -> node.up && !node.relays.contains(node.member.id()))
        .mapToInt(node -> node.recipients().size())
        .max()
        .orElse(0);
  }

  boolean areAllSharesUsable() {
    return nodes.stream().filter(node -> node.up).allMatch(node -> node.roster.isShareUsable());
  }

  /** Returns the fraction of an organisation's rate that all running holders have together. */
  double heldFraction() {
    return nodes.stream().filter(node -> node.up).mapToDouble(Node::heldFraction).sum();
  }

  /** Finds two instances of which both use their shares and one does not count the other. */
  Optional<String> findUncounted() {
    List<Node> using =
        nodes.stream().filter(node -> node.up && node.roster.isShareUsable()).toList();
    for (Node one : using) {
      for (Node other : using) {
        if (one != other && !one.roster.contains(other.member.id())) {
          return Optional.of(one.index + " does not count " + other.index);
        }
      }
    }
    return Optional.empty();
  }
}
