package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.kernel.ClockReading;

/** Simulates instances with a network, a log and clocks, all driven by one random seed. */
final class SimulatedFleet {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final Duration FRESHNESS = Duration.ofSeconds(3);

  /** The state machines of one process. */
  interface ProcessBehavior {
    void configure(Configuration configuration, ClockReading now);

    void setFreshUntil(ClockReading until);

    void onMessage(InstanceId from, Record message, ClockReading now);

    void onTick(ClockReading now);
  }

  /** Loss, duplication and delay of messages in the network. */
  record NetworkConditions(int lossPerMille, int duplicatePerMille, int maxDelayMillis) {}

  private record Event(long at, long order, Runnable action) {}

  private final Random random;
  private final NetworkConditions network;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final List<Configuration> log = new ArrayList<>();
  private final Map<String, Node> nodes = new HashMap<>();
  private final Set<String> cut = new HashSet<>();
  private boolean logUnreachable;
  private long order;
  private long time;
  long sentMessages;

  SimulatedFleet(long seed, NetworkConditions network, TeamSettings team) {
    this.random = new Random(seed);
    this.network = network;
    log.add(Configuration.of(0, Map.of(team.team(), team), Set.of(), Members.NONE));
  }

  long millis() {
    return time / NANOS_PER_MILLI;
  }

  Node node(String id) {
    return nodes.get(id);
  }

  Configuration head() {
    return log.getLast();
  }

  void at(long millis, Runnable action) {
    events.add(new Event(millis * NANOS_PER_MILLI, order++, action));
  }

  private void after(long nanos, Runnable action) {
    events.add(new Event(time + nanos, order++, action));
  }

  void runUntil(long millis) {
    while (!events.isEmpty() && events.peek().at() <= millis * NANOS_PER_MILLI) {
      Event event = events.poll();
      time = event.at();
      event.action().run();
    }
    time = millis * NANOS_PER_MILLI;
  }

  Node start(String id, String domain, Function<Node, ProcessBehavior> factory) {
    Node node = new Node(id, domain, factory);
    nodes.put(id, node);
    node.restart();
    return node;
  }

  void editTeams(UnaryOperator<TeamSettings> edit) {
    Configuration head = head();
    Map<String, TeamSettings> teams = new HashMap<>();
    head.teams().forEach((name, team) -> teams.put(name, edit.apply(team)));
    log.add(Configuration.of(head.offset() + 1, teams, Set.of(), head.members()));
  }

  void removeMember(String id) {
    List<Member> left = new ArrayList<>(head().members().list());
    if (left.removeIf(member -> member.id().value().equals(id))) {
      appendMembers(left);
    }
  }

  private void appendMembers(List<Member> list) {
    long offset = head().offset() + 1;
    log.add(Configuration.of(offset, head().teams(), Set.of(), new Members(offset, list)));
  }

  void setLogUnreachable(boolean away) {
    logUnreachable = away;
  }

  void cut(String from, String to, boolean isCut) {
    if (isCut) {
      cut.add(from + ">" + to);
    } else {
      cut.remove(from + ">" + to);
    }
  }

  private void transmit(Node from, String to, Runnable delivery) {
    sentMessages++;
    if (cut.contains(from.id + ">" + to) || random.nextInt(1000) < network.lossPerMille()) {
      return;
    }
    int copies = random.nextInt(1000) < network.duplicatePerMille() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      after(delay(), delivery);
    }
  }

  // One message in twenty takes up to the maximum delay; the others take up to 2 ms.
  private long delay() {
    long slowest = random.nextInt(20) == 0 ? network.maxDelayMillis() : 2;
    return (long) (random.nextDouble() * slowest * NANOS_PER_MILLI) + NANOS_PER_MILLI / 10;
  }

  /** One instance, which keeps its id across restarts. */
  final class Node {
    final String id;
    final InstanceId instance;
    private final FailureDomain domain;
    private final Function<Node, ProcessBehavior> factory;
    private final double drift = 1 + (random.nextDouble() - 0.5) * 0.02;
    private long wallStepMillis;
    private Optional<ProcessBehavior> process = Optional.empty();
    private long incarnation;
    private long pausedUntil;
    private long lagsUntil;
    private long offset;
    private final Map<String, ClockReading> echoedBeats = new HashMap<>();
    private Optional<ClockReading> confirmed = Optional.empty();

    private Node(String id, String domain, Function<Node, ProcessBehavior> factory) {
      this.id = id;
      this.instance = new InstanceId(id);
      this.domain = new FailureDomain(domain);
      this.factory = factory;
    }

    long incarnation() {
      return incarnation;
    }

    Optional<ProcessBehavior> process() {
      return process;
    }

    boolean isRunning() {
      return process.isPresent() && time >= pausedUntil;
    }

    ClockReading now() {
      return new ClockReading(
          (long) (time * drift) + 7_000_000_000L, time / NANOS_PER_MILLI + wallStepMillis);
    }

    void stepWallClock(long stepMillis) {
      wallStepMillis += stepMillis;
    }

    void kill() {
      process = Optional.empty();
    }

    void pause(long millis) {
      pausedUntil = time + millis * NANOS_PER_MILLI;
    }

    /**
     * Expels the instance and withholds new log records from its process, which stays connected.
     */
    void expelAndLag(long millis) {
      lagsUntil = time + millis * NANOS_PER_MILLI;
      removeMember(id);
    }

    void restart() {
      incarnation = ++order;
      offset = -1;
      echoedBeats.clear();
      confirmed = Optional.empty();
      process = Optional.of(factory.apply(this));
      long started = incarnation;
      repeat(started, 10, () -> process.orElseThrow().onTick(now()));
      repeat(started, 500, this::beat);
      repeat(started, 150, this::pollLog);
      repeat(started, 400, this::join);
    }

    // Work of a paused process runs when it resumes, like messages buffered in its socket.
    private void runInProcess(long started, Runnable action) {
      if (process.isEmpty() || incarnation != started) {
        return;
      }
      if (time < pausedUntil) {
        after(pausedUntil - time + 1, () -> runInProcess(started, action));
      } else {
        action.run();
      }
    }

    private void repeat(long started, long millis, Runnable action) {
      after(
          (millis * NANOS_PER_MILLI * 3 + random.nextInt((int) (millis * NANOS_PER_MILLI))) / 4,
          () ->
              runInProcess(
                  started,
                  () -> {
                    action.run();
                    repeat(started, millis, action);
                  }));
    }

    void send(InstanceId to, Record message) {
      Node receiver = nodes.get(to.value());
      if (receiver != null) {
        long target = receiver.incarnation;
        transmit(
            this,
            receiver.id,
            () ->
                receiver.runInProcess(
                    target,
                    () ->
                        receiver
                            .process
                            .orElseThrow()
                            .onMessage(instance, message, receiver.now())));
      }
    }

    private void join() {
      boolean member =
          head().members().find(instance).map(m -> m.incarnation() == incarnation).orElse(false);
      if (!logUnreachable && !member && time >= lagsUntil) {
        List<Member> list = new ArrayList<>(head().members().list());
        list.removeIf(m -> m.id().equals(instance));
        list.add(new Member(instance, incarnation, domain, id));
        appendMembers(list);
      }
    }

    private void pollLog() {
      ClockReading asked = now();
      long started = incarnation;
      if (logUnreachable || cut.contains(id + ">log")) {
        return;
      }
      after(
          delay(),
          () -> {
            long seen = head().offset();
            after(
                delay(),
                () ->
                    runInProcess(
                        started,
                        () -> {
                          adopt(seen);
                          if (offset == seen) {
                            confirmed = Optional.of(asked);
                            publishFreshness();
                          }
                        }));
          });
    }

    // A process that has just started applies only the latest configuration, as from a snapshot.
    private void adopt(long upTo) {
      if (time < lagsUntil) {
        return;
      }
      long first = offset < 0 ? upTo : offset + 1;
      for (long next = first; next <= upTo; next++) {
        offset = next;
        process.orElseThrow().configure(log.get((int) next), now());
      }
    }

    private void beat() {
      ClockReading sent = now();
      long started = incarnation;
      long carried = offset;
      for (Node peer : nodes.values()) {
        if (peer != this && offset >= 0) {
          long target = peer.incarnation;
          transmit(
              this,
              peer.id,
              () -> peer.runInProcess(target, () -> peer.echo(this, started, sent, carried)));
        }
      }
    }

    private void echo(Node asker, long askerIncarnation, ClockReading sent, long carried) {
      if (offset < 0) {
        return;
      }
      adopt(carried);
      long own = offset;
      transmit(
          this,
          asker.id,
          () -> asker.runInProcess(askerIncarnation, () -> asker.onEcho(this, sent, own)));
    }

    private void onEcho(Node peer, ClockReading sent, long peerOffset) {
      adopt(peerOffset);
      if (peerOffset > offset) {
        return;
      }
      echoedBeats.merge(peer.id, sent, (a, b) -> a.isAfter(b) ? a : b);
      process.orElseThrow().onMessage(peer.instance, new PeerOffset(peerOffset), now());
      publishFreshness();
    }

    private void publishFreshness() {
      Members members = log.get((int) offset).members();
      List<ClockReading> heard = new ArrayList<>();
      members.list().stream()
          .map(m -> m.id().equals(instance) ? now() : echoedBeats.get(m.id().value()))
          .filter(at -> at != null)
          .forEach(heard::add);
      heard.sort(Comparator.reverseOrder());
      Optional<ClockReading> best = confirmed;
      if (members.list().size() > 0 && heard.size() >= members.majority()) {
        ClockReading byPeers = heard.get(members.majority() - 1);
        best = best.filter(c -> c.isAfter(byPeers)).or(() -> Optional.of(byPeers));
      }
      best.ifPresent(at -> process.orElseThrow().setFreshUntil(at.plus(FRESHNESS)));
    }
  }

  /** Reports to a process the offset that a peer has confirmed. */
  record PeerOffset(long offset) {}
}
