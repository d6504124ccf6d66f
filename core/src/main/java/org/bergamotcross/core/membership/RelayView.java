package org.bergamotcross.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The relays through which the instances of a large fleet reach each other.
 *
 * @param relays the relays in order of precedence, the first of each failure domain before the
 *     second of any; empty while every instance keeps a link to every other one
 */
public record RelayView(List<Member> relays) {
  /** No relays: every instance keeps a link to every other one. */
  public static final RelayView FULL_MESH = new RelayView(List.of());

  public RelayView {
    relays = List.copyOf(relays);
  }

  /**
   * Tells whether every instance keeps a link to every other one.
   *
   * @return whether there are no relays
   */
  public boolean isFullMesh() {
    return relays.isEmpty();
  }

  /**
   * Tells whether an instance is a relay.
   *
   * @param instance the instance
   * @return whether it is a relay
   */
  public boolean contains(InstanceId instance) {
    return precedence(instance) >= 0;
  }

  /** Returns the position of a relay in the order of precedence, -1 for other instances. */
  int precedence(InstanceId instance) {
    for (int i = 0; i < relays.size(); i++) {
      if (relays.get(i).id().equals(instance)) {
        return i;
      }
    }
    return -1;
  }

  /**
   * Selects the relay to which an instance sends its messages to all.
   *
   * <p>Rendezvous hashing spreads the subscribers over the relays of their failure domain, and
   * those of a lost relay over the remaining ones.
   *
   * @param subscriber the instance
   * @param isReachable tells whether the subscriber reaches a relay
   * @return a relay of the subscriber's own failure domain, or one of another failure domain if it
   *     reaches none there; empty when it reaches no relay, is a relay itself, or needs none
   */
  public Optional<Member> primary(Member subscriber, Predicate<InstanceId> isReachable) {
    if (contains(subscriber.id())) {
      return Optional.empty();
    }
    Comparator<Member> byDomain =
        Comparator.comparing(relay -> relay.failureDomain().equals(subscriber.failureDomain()));
    return relays.stream()
        .filter(relay -> isReachable.test(relay.id()))
        .max(
            byDomain.thenComparingLong(
                relay -> Members.rendezvousWeight(subscriber.id().value(), relay.id())));
  }
}
