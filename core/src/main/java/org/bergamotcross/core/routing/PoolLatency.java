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
import org.bergamotcross.kernel.ClockReading;

/** The baseline latency of a pool and the stall threshold that is derived from it. */
final class PoolLatency {
  /** Shorter pauses, such as garbage collection, do not justify an ejection. */
  static final Duration MIN_STALL_THRESHOLD = Duration.ofMillis(400);

  /** Used until a latency is known, because the pool may be slower than most. */
  static final Duration DEFAULT_STALL_THRESHOLD = Duration.ofMillis(600);

  static final int STALL_FACTOR = 4;

  /**
   * With a single target, a request in flight would raise the very threshold that applies to it.
   */
  private static final int MIN_TARGETS = 2;

  /** Older reports of peers may reflect a different load. */
  private static final Duration MAX_PEER_REPORT_AGE = Duration.ofSeconds(60);

  private record PeerLatency(Duration baseline, ClockReading receivedAt) {}

  private final Map<InstanceId, PeerLatency> peerLatencies = new HashMap<>();
  private Optional<Duration> ownBaseline = Optional.empty();

  void update(Collection<OwnEvidence> targets, ClockReading now) {
    peerLatencies
        .values()
        .removeIf(t -> now.since(t.receivedAt()).compareTo(MAX_PEER_REPORT_AGE) > 0);
    List<OwnEvidence> recent = targets.stream().filter(t -> t.hasRecentLatency(now)).toList();
    Collection<OwnEvidence> included = recent.size() >= MIN_TARGETS ? recent : targets;
    long knownCount =
        included.stream().filter(t -> t.latencyEstimateNanos(false, now).isPresent()).count();
    boolean includesInFlight = knownCount >= MIN_TARGETS;
    ownBaseline =
        lowerMedian(
            included.stream()
                .map(target -> target.latencyEstimateNanos(includesInFlight, now))
                .filter(OptionalDouble::isPresent)
                .mapToDouble(OptionalDouble::getAsDouble)
                .toArray());
  }

  void onPeerReport(InstanceId peer, Optional<Duration> latency, ClockReading now) {
    latency.ifPresent(duration -> peerLatencies.put(peer, new PeerLatency(duration, now)));
  }

  Optional<Duration> ownBaseline() {
    return ownBaseline;
  }

  /**
   * Returns the larger of the minimum threshold and four times the baseline latency.
   *
   * <p>An instance with few requests notices late that the pool has become slow. The baseline is
   * therefore the larger of its own and the median of its peers.
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

  /**
   * Returns the lower median, so that a pool of which half is slow does not raise the threshold.
   */
  private static Optional<Duration> lowerMedian(double[] nanos) {
    if (nanos.length == 0) {
      return Optional.empty();
    }
    Arrays.sort(nanos);
    return Optional.of(Duration.ofNanos((long) nanos[(nanos.length - 1) / 2]));
  }
}
