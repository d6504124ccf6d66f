package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.Meter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against messages to all that some instance receives twice or never, and against outcomes
 * that count twice because a relay has merged them.
 */
class MessageRelayTest {
  private static final String SINGLE = "single";
  private static final String COUNTED = "counted";

  record Note(String text) {}

  /** Counts messages by origin, as outcomes are counted by target. */
  record Count(Map<String, Integer> byOrigin) {
    Count plus(Count other) {
      Map<String, Integer> sum = new HashMap<>(byOrigin);
      other.byOrigin.forEach((origin, count) -> sum.merge(origin, count, Integer::sum));
      return new Count(sum);
    }
  }

  /** An instance with fixed neighbours. */
  private static final class Node {
    final InstanceId id;
    final List<String> notes = new ArrayList<>();
    final Set<Node> relays = new HashSet<>();
    final Set<Node> subscribers = new HashSet<>();
    final Meter duplicates = new Meter();
    final MessageRelay relay;
    final Map<String, Integer> counted = new HashMap<>();
    int receivedCounts;
    int receivedBundles;
    Optional<Node> primary = Optional.empty();

    Node(int index) {
      id = new InstanceId("n" + index);
      HandlerRegistry handlers = new HandlerRegistry();
      handlers.register(SINGLE, Note.class, (from, note) -> notes.add(from.id() + note.text()));
      handlers.register(
          COUNTED,
          Count.class,
          (from, count) -> {
            count.byOrigin().forEach((origin, n) -> counted.merge(origin, n, Integer::sum));
            receivedCounts++;
          });
      handlers.registerMerger(COUNTED, Count.class, Count::plus);
      Member member = new Member(id, index + 1, new FailureDomain("d"), "host-" + index);
      relay = new MessageRelay(member, handlers, new PeerCodec(), duplicates);
    }

    boolean isRelaying() {
      return primary.isEmpty();
    }

    void subscribe(Node next) {
      primary.ifPresent(before -> before.subscribers.remove(this));
      primary = Optional.of(next);
      next.subscribers.add(this);
    }

    Set<Node> receivers(MessageRelay.Direction direction) {
      return switch (direction) {
        case PRIMARY -> Set.of(primary.orElseThrow());
        case RELAYS -> relays;
        case SUBSCRIBERS -> subscribers;
      };
    }
  }

  private final List<Node> nodes = new ArrayList<>();
  private final Set<List<Node>> cuts = new HashSet<>();
  private final BundleCodec bundles = new BundleCodec();
  private int millis = 1_000;

  /** Creates relays that know each other, and subscribers that are spread over them. */
  private void create(int size, int relays) {
    for (int i = 0; i < size; i++) {
      nodes.add(new Node(i));
    }
    for (Node node : nodes.subList(0, relays)) {
      node.relays.addAll(nodes.subList(0, relays));
      node.relays.remove(node);
    }
    for (int i = relays; i < size; i++) {
      nodes.get(i).subscribe(nodes.get(i % relays));
    }
  }

  private record Delivery(Node from, Node to, Bundle bundle) {}

  private Bundle encodeAndDecode(Bundle bundle) {
    return bundles.decode(bundles.encode(bundle)).orElseThrow();
  }

  private List<Delivery> takeDue() {
    ClockReading now = ClockReading.ofMillis(millis);
    List<Delivery> due = new ArrayList<>();
    for (Node node : nodes) {
      Map<MessageRelay.Direction, Bundle> taken =
          new HashMap<>(node.relay.takeDue(node.isRelaying(), now));
      taken.forEach(
          (direction, bundle) ->
              node.receivers(direction)
                  .forEach(to -> due.add(new Delivery(node, to, encodeAndDecode(bundle)))));
    }
    return due;
  }

  private void deliver(List<Delivery> due) {
    for (Delivery delivery : due) {
      Node to = delivery.to();
      if (!cuts.contains(List.of(delivery.from(), to))) {
        to.receivedBundles++;
        to.relay.receive(
            delivery.bundle(),
            delivery.from().id,
            to.relays.contains(delivery.from()) || to.primary.equals(Optional.of(delivery.from())),
            to.isRelaying());
      }
    }
  }

  private void advance(int forMs) {
    for (int end = millis + forMs; millis < end; millis++) {
      deliver(takeDue());
    }
  }

  private void sendFromAll() {
    nodes.forEach(node -> node.relay.add(SINGLE, new Note("!")));
  }

  private void assertEachReceivedAllOthersOnce() {
    for (Node node : nodes) {
      assertWithMessage("%s", node.id).that(node.notes).containsNoDuplicates();
      assertWithMessage("%s", node.id).that(node.notes).hasSize(nodes.size() - 1);
    }
  }

  @Nested
  class MessagesToAll {
    @Test
    void reachEveryInstanceOfAFleetOf49Once() {
      create(49, 6);
      sendFromAll();
      advance(200);
      assertEachReceivedAllOthersOnce();
    }

    @Test
    void reachEveryInstanceOfAFleetOf138Once() {
      create(138, 8);
      sendFromAll();
      advance(200);
      assertEachReceivedAllOthersOnce();
    }

    // Guards against news of a stalled target that comes too late to spare the next request.
    @Test
    void arriveWithinTwoIntervals() {
      create(138, 8);
      sendFromAll();
      advance(30);
      nodes.getLast().relay.add(SINGLE, new Note("stalled"));
      advance(2 * (int) MessageRelay.BUNDLE_INTERVAL.toMillis() + 1);
      nodes.subList(0, 137).forEach(node -> assertThat(node.notes).contains("n137stalled"));
    }

    @Test
    void takeAtMostOneBundleInAnInterval() {
      create(138, 8);
      for (int i = 0; i < 1_000; i += 10) {
        nodes.get(8 + i % 130).relay.add(SINGLE, new Note("" + i));
        advance(10);
      }
      assertThat(nodes.getLast().receivedBundles).isAtMost(21);
    }

    @Test
    void areNotPassedOnTwiceWhenRelaysSeeDifferentRelays() {
      create(49, 6);
      nodes.get(6).relays.addAll(nodes.subList(0, 3));
      nodes.subList(0, 3).forEach(node -> node.relays.add(nodes.get(6)));
      nodes.get(3).relays.remove(nodes.get(0));
      sendFromAll();
      advance(500);
      nodes.forEach(node -> assertThat(node.notes).containsNoDuplicates());
    }
  }

  @Nested
  class FailedRelay {
    // The message of a subscriber is lost with the bundle, but later ones reach all.
    @Test
    void losesOnlyWhatItHadNotPassedOn() {
      create(49, 6);
      Node failed = nodes.get(0);
      sendFromAll();
      deliver(takeDue());
      nodes.forEach(node -> cuts.add(List.of(failed, node)));
      advance(200);
      nodes.stream()
          .filter(node -> node.primary.equals(Optional.of(failed)))
          .toList()
          .forEach(node -> node.subscribe(nodes.get(1)));
      nodes.forEach(node -> node.notes.clear());
      nodes.get(12).relay.add(SINGLE, new Note("later"));
      advance(200);
      List<Node> others = new ArrayList<>(nodes);
      others.removeAll(List.of(failed, nodes.get(12)));
      others.forEach(node -> assertThat(node.notes).containsExactly("n12later"));
    }

    @Test
    void thatIsCutFromHalfOfItsSubscribersReachesThemThroughAnother() {
      create(49, 6);
      for (int i = 6; i < 30; i += 6) {
        cuts.add(List.of(nodes.get(0), nodes.get(i)));
        cuts.add(List.of(nodes.get(i), nodes.get(0)));
        nodes.get(i).subscribe(nodes.get(1));
      }
      sendFromAll();
      advance(200);
      assertEachReceivedAllOthersOnce();
    }
  }

  @Nested
  class MergedMessages {
    private void countFromAll() {
      nodes.forEach(node -> node.relay.add(COUNTED, new Count(Map.of(node.id.value(), 1))));
    }

    @Test
    void countAllOthersOnce() {
      create(138, 8);
      for (int i = 0; i < 3; i++) {
        countFromAll();
        advance(70);
      }
      advance(200);
      for (Node node : nodes) {
        assertThat(node.counted.keySet()).doesNotContain(node.id.value());
        assertThat(node.counted).hasSize(137);
        node.counted.values().forEach(count -> assertThat(count).isEqualTo(3));
      }
    }

    // Guards against outcomes that an instance counts again after it has changed its relay.
    @Test
    void areDroppedByAnInstanceThatHasSeenAPart() {
      create(5, 2);
      Node changed = nodes.get(3);
      nodes.get(2).relay.add(COUNTED, new Count(Map.of("n2", 1)));
      nodes.get(4).relay.add(COUNTED, new Count(Map.of("n4", 1)));
      List<Delivery> sent = takeDue();
      deliver(List.of(new Delivery(sent.getFirst().from(), changed, sent.getFirst().bundle())));
      deliver(sent);
      advance(200);
      assertThat(nodes.get(1).counted).containsExactly("n2", 1, "n4", 1);
      assertThat(changed.counted).containsExactly("n2", 1);
    }

    @Test
    void areFewerThanTheOrigins() {
      create(138, 8);
      countFromAll();
      advance(200);
      nodes.subList(8, 138).forEach(node -> assertThat(node.receivedCounts).isAtMost(40));
    }

    @Test
    void neverCountTwiceWhenSubscribersChangeTheirRelay() {
      create(49, 6);
      for (int round = 0; round < 40; round++) {
        countFromAll();
        advance(7 + round % 30);
        for (int i = 6 + round % 11; round % 2 == 0 && i < 49; i += 11) {
          nodes.get(i).subscribe(nodes.get((i + round / 2) % 6));
        }
      }
      advance(300);
      for (Node node : nodes) {
        assertThat(node.counted.keySet()).doesNotContain(node.id.value());
        node.counted.values().forEach(count -> assertThat(count).isAtMost(40));
        int total = node.counted.values().stream().mapToInt(Integer::intValue).sum();
        assertThat(total).isAtLeast(40 * 48 / 2);
      }
    }
  }
}
