package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.Now;

/** The usual latency of a pool and the stall threshold that follows from it. */
final class PoolLatency {
  /** Shorter pauses, such as those of a garbage collection, are not worth an ejection. */
  static final Duration MIN_STALL_THRESHOLD = Duration.ofMillis(400);

  /** Used while nobody has told anything: the pool may be slower than most. */
  static final Duration DEFAULT_STALL_THRESHOLD = Duration.ofMillis(600);

  static final int STALL_FACTOR = 4;

  /** With one target an open request would set the threshold by which it is judged. */
  private static final int MIN_TARGETS = 2;

  /** What peers told longer ago may be from another load. */
  private static final Duration MAX_PEER_REPORT_AGE = Duration.ofSeconds(60);

  private record PeerLatency(Duration baseline, Now receivedAt) {}

  private final Map<InstanceId, PeerLatency> peerLatencies = new HashMap<>();
  private Optional<Duration> ownBaseline = Optional.empty();

  void update(Collection<OwnEvidence> targets, Now now) {
    peerLatencies
        .values()
        .removeIf(t -> now.since(t.receivedAt()).compareTo(MAX_PEER_REPORT_AGE) > 0);
    List<OwnEvidence> recent = targets.stream().filter(t -> t.hasRecentLatency(now)).toList();
    Collection<OwnEvidence> used = recent.size() >= MIN_TARGETS ? recent : targets;
    long known = used.stream().filter(t -> t.latencyEstimateNanos(false, now).isPresent()).count();
    boolean withOpen = known >= MIN_TARGETS;
    ownBaseline =
        lowerMedian(
            used.stream()
                .map(target -> target.latencyEstimateNanos(withOpen, now))
                .filter(OptionalDouble::isPresent)
                .mapToDouble(OptionalDouble::getAsDouble)
                .toArray());
  }

  void onPeerReport(InstanceId peer, Optional<Duration> latency, Now now) {
    latency.ifPresent(duration -> peerLatencies.put(peer, new PeerLatency(duration, now)));
  }

  Optional<Duration> ownBaseline() {
    return ownBaseline;
  }

  /**
   * Returns the larger of the least threshold and four times the usual latency.
   *
   * <p>An instance with few requests learns late that the pool has become slow, so that the median
   * of what peers told counts when it is larger.
   */
  Duration stallThreshold() {
    return Stream.concat(ownBaseline.stream(), peerMedian().stream())
        .max(Duration::compareTo)
        .map(duration -> duration.multipliedBy(STALL_FACTOR))
        .map(limit -> limit.compareTo(MIN_STALL_THRESHOLD) < 0 ? MIN_STALL_THRESHOLD : limit)
        .orElse(DEFAULT_STALL_THRESHOLD);
  }

  private Optional<Duration> peerMedian() {
    return lowerMedian(
        peerLatencies.values().stream().mapToDouble(t -> t.baseline().toNanos()).toArray());
  }

  /** The lower one of the two in the middle, so that half of the pool being slow is noticed. */
  private static Optional<Duration> lowerMedian(double[] nanos) {
    if (nanos.length == 0) {
      return Optional.empty();
    }
    Arrays.sort(nanos);
    return Optional.of(Duration.ofNanos((long) nanos[(nanos.length - 1) / 2]));
  }
}
