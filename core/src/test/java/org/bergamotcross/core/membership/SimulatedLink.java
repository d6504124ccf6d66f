package org.bergamotcross.core.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.kernel.ClockReading;

/** Holds what an instance of {@link SimulatedRelayFleet} knows of one other. */
final class SimulatedLink {
  static final Duration MAX_ECHO_AGE = Duration.ofMillis(3_500);

  /** A heartbeat that was sent, and the version of the delegation that it carried. */
  record Sent(long sequence, long planVersion, ClockReading at) {}

  Member member;
  ClockReading lastHeardAt;
  Optional<ClockReading> triedSince = Optional.empty();
  Optional<ClockReading> echoedSentAt = Optional.empty();
  Optional<ClockReading> wantedAt = Optional.empty();
  long confirmedVersion;
  long receivedSequence;
  long sentSequence;
  long digest;
  int nextListAt;
  Set<InstanceId> reported = Set.of();
  final Deque<Sent> sent = new ArrayDeque<>();

  SimulatedLink(Member member, ClockReading now) {
    this.member = member;
    this.lastHeardAt = now;
  }

  void restart(Member restarted) {
    member = restarted;
    echoedSentAt = Optional.empty();
    receivedSequence = 0;
    digest = 0;
    reported = Set.of();
  }

  boolean isAnswered(ClockReading now) {
    return echoedSentAt.filter(at -> now.since(at).compareTo(MAX_ECHO_AGE) <= 0).isPresent();
  }

  boolean isSubscriber(ClockReading now) {
    return wantedAt.filter(at -> now.since(at).compareTo(MAX_ECHO_AGE) <= 0).isPresent();
  }
}
