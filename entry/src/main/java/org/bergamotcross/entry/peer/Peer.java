package org.bergamotcross.entry.peer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.DelegationPlan;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.kernel.ClockReading;

/** What this instance knows about a peer; owned by {@link PeerTable}. */
final class Peer {
  // 32 heartbeats of 500 ms cover 16 s, more than five times as long as an echo stays valid.
  private static final int MAX_SENT_HEARTBEATS = 32;

  // A dead instance stays counted for hours, so the time until it is tried again as a relay grows.
  private static final Duration MIN_INELIGIBLE_TIME = Duration.ofSeconds(8);
  private static final Duration MAX_INELIGIBLE_TIME = Duration.ofSeconds(64);

  /** A heartbeat that was sent and may be echoed. */
  record SentHeartbeat(long sequence, long planVersion, ClockReading sentAt) {}

  Member member;
  int capacity;
  boolean canRelay = true;
  ClockReading lastHeardAt;
  Optional<ClockReading> introducedAt = Optional.empty();
  boolean introduced;
  long lastReceivedSequence;
  long lastSentSequence;
  Optional<ClockReading> echoedHeartbeatSentAt = Optional.empty();
  long confirmedPlanVersion;
  boolean connectionLost;
  boolean released;
  Optional<Delegation> announced = Optional.empty();
  ClockReading candidatesDueAt;
  Optional<RosterReport> report = Optional.empty();
  ClockReading reportDueAt;
  long reportedVersion;
  long digest;
  Optional<ClockReading> differsSince = Optional.empty();
  ClockReading peerListDueAt;

  private final Deque<SentHeartbeat> sentHeartbeats = new ArrayDeque<>();
  private LinkFlags flags = LinkFlags.NONE;
  private Optional<ClockReading> linkOpenedAt = Optional.empty();
  private Optional<ClockReading> selectedAt = Optional.empty();
  private Optional<ClockReading> ineligibleUntil = Optional.empty();
  private Duration ineligibleTime = MIN_INELIGIBLE_TIME;

  Peer(Member member, int capacity, ClockReading heardAt) {
    this.member = member;
    this.capacity = capacity;
    this.lastHeardAt = heardAt;
    this.candidatesDueAt = heardAt;
    this.reportDueAt = heardAt;
    this.peerListDueAt = heardAt;
  }

  InstanceId id() {
    return member.id();
  }

  DelegationPlan.PeerState planState() {
    return new DelegationPlan.PeerState(lastHeardAt, confirmedPlanVersion, released);
  }

  void recordSent(long planVersion, ClockReading now) {
    lastSentSequence++;
    sentHeartbeats.addLast(new SentHeartbeat(lastSentSequence, planVersion, now));
    if (sentHeartbeats.size() > MAX_SENT_HEARTBEATS) {
      sentHeartbeats.removeFirst();
    }
  }

  Optional<SentHeartbeat> findSent(long sequence) {
    return sentHeartbeats.stream().filter(sent -> sent.sequence() == sequence).findFirst();
  }

  boolean hasEchoWithin(Duration maxAge, ClockReading now) {
    return echoedHeartbeatSentAt.filter(at -> now.since(at).compareTo(maxAge) <= 0).isPresent();
  }

  /** Returns whether the peer echoes heartbeats over a connection that is still open. */
  boolean isReachable(Duration maxEchoAge, ClockReading now) {
    return !connectionLost && hasEchoWithin(maxEchoAge, now);
  }

  // ---- links

  /** Records what the peer's latest message says about the links between it and this instance. */
  void updateFlags(LinkFlags next) {
    flags = next;
  }

  /**
   * Returns whether the peer keeps a link to this instance, as its latest message says.
   *
   * @param maxSilence how long a peer may be silent before it is no subscriber any more
   * @param now the current time
   */
  boolean isSubscriber(Duration maxSilence, ClockReading now) {
    return flags.wantsLink() && isHeardWithin(maxSilence, now);
  }

  /** Returns whether the peer takes this instance as its primary relay. */
  boolean isPrimarySubscriber(Duration maxSilence, ClockReading now) {
    return flags.takesPrimary() && isSubscriber(maxSilence, now);
  }

  /** Returns whether the peer says that it relays. */
  boolean isRelay(Duration maxSilence, ClockReading now) {
    return flags.isRelay() && isHeardWithin(maxSilence, now);
  }

  /**
   * Returns whether the peer doesn't use relays, since it knows few instances or is of an older
   * version; the origin of a message to all sends it to such a peer directly.
   */
  boolean isInFullMesh(Duration maxSilence, ClockReading now) {
    return flags.isFullMesh() && isHeardWithin(maxSilence, now);
  }

  private boolean isHeardWithin(Duration maxSilence, ClockReading now) {
    return now.since(lastHeardAt).compareTo(maxSilence) <= 0;
  }

  void recordLinkOpened(ClockReading now) {
    linkOpenedAt = Optional.of(now);
  }

  /**
   * Records that the link has ended. A peer that accepts no new connection either, or that didn't
   * answer on the last one, can't be a relay for a while.
   */
  void recordLinkEnded(ClockReading now) {
    boolean hasAnswered =
        linkOpenedAt.isPresent()
            && echoedHeartbeatSentAt.filter(at -> !at.isBefore(linkOpenedAt.get())).isPresent();
    connectionLost = true;
    if (linkOpenedAt.isPresent() && !hasAnswered) {
      makeIneligible(now);
    }
    linkOpenedAt = Optional.empty();
  }

  /** Records whether the peer is a relay in the view of this instance. */
  void recordSelection(boolean isSelected, ClockReading now) {
    selectedAt = isSelected ? selectedAt.or(() -> Optional.of(now)) : Optional.empty();
  }

  /** Returns whether the peer is a relay in the view of this instance. */
  boolean isSelected() {
    return selectedAt.isPresent();
  }

  void recordEcho(ClockReading sentAt) {
    echoedHeartbeatSentAt = Optional.of(sentAt);
    connectionLost = false;
    ineligibleUntil = Optional.empty();
    ineligibleTime = MIN_INELIGIBLE_TIME;
  }

  /**
   * Returns whether the peer may be a relay. A peer to which there was no link is taken to answer.
   *
   * @param maxEchoAge how long a linked relay may go without an echo
   * @param now the current time
   */
  boolean updateEligibility(Duration maxEchoAge, ClockReading now) {
    boolean isSilent =
        isLongerAgo(selectedAt, maxEchoAge, now)
            && isLongerAgo(linkOpenedAt, maxEchoAge, now)
            && !hasEchoWithin(maxEchoAge, now);
    if (isSilent) {
      makeIneligible(now);
    }
    return canRelay && !released && ineligibleUntil.filter(now::isBefore).isEmpty();
  }

  private static boolean isLongerAgo(Optional<ClockReading> at, Duration time, ClockReading now) {
    return at.filter(t -> now.since(t).compareTo(time) > 0).isPresent();
  }

  private void makeIneligible(ClockReading now) {
    if (ineligibleUntil.filter(now::isBefore).isPresent()) {
      return;
    }
    ineligibleUntil = Optional.of(now.plus(ineligibleTime));
    Duration doubled = ineligibleTime.multipliedBy(2);
    ineligibleTime = doubled.compareTo(MAX_INELIGIBLE_TIME) > 0 ? MAX_INELIGIBLE_TIME : doubled;
  }
}
