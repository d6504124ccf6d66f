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
final class UsualLatency {
  /** Shorter pauses, such as those of a garbage collection, are not worth an ejection. */
  static final Duration LEAST_THRESHOLD = Duration.ofMillis(400);

  /** Used while nobody has told anything: the pool may be slower than most. */
  static final Duration UNKNOWN_THRESHOLD = Duration.ofMillis(600);

  static final int FACTOR = 4;

  /** With one target an open request would set the threshold by which it is judged. */
  private static final int LEAST_TARGETS = 2;

  /** What peers told longer ago may be from another load. */
  private static final Duration PEER_AGE_LIMIT = Duration.ofSeconds(60);

  private record Told(Duration usual, Now at) {}

  private final Map<InstanceId, Told> told = new HashMap<>();
  private Optional<Duration> own = Optional.empty();

  void update(Collection<OwnEvidence> targets, Now now) {
    told.values().removeIf(t -> now.since(t.at()).compareTo(PEER_AGE_LIMIT) > 0);
    List<OwnEvidence> recent = targets.stream().filter(t -> t.isRecent(now)).toList();
    Collection<OwnEvidence> used = recent.size() >= LEAST_TARGETS ? recent : targets;
    long known = used.stream().filter(t -> t.estimateNanos(false, now).isPresent()).count();
    boolean withOpen = known >= LEAST_TARGETS;
    own =
        lowerMedian(
            used.stream()
                .map(target -> target.estimateNanos(withOpen, now))
                .filter(OptionalDouble::isPresent)
                .mapToDouble(OptionalDouble::getAsDouble)
                .toArray());
  }

  void reported(InstanceId peer, Optional<Duration> latency, Now now) {
    latency.ifPresent(duration -> told.put(peer, new Told(duration, now)));
  }

  Optional<Duration> own() {
    return own;
  }

  /**
   * Returns the larger of the least threshold and four times the usual latency.
   *
   * <p>An instance with few requests learns late that the pool has become slow, so that the median
   * of what peers told counts when it is larger.
   */
  Duration threshold() {
    return Stream.concat(own.stream(), toldMedian().stream())
        .max(Duration::compareTo)
        .map(duration -> duration.multipliedBy(FACTOR))
        .map(limit -> limit.compareTo(LEAST_THRESHOLD) < 0 ? LEAST_THRESHOLD : limit)
        .orElse(UNKNOWN_THRESHOLD);
  }

  private Optional<Duration> toldMedian() {
    return lowerMedian(told.values().stream().mapToDouble(t -> t.usual().toNanos()).toArray());
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
