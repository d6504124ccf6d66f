package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Records what targets announced about themselves in their responses: that they are leaving, or
 * that they want no requests for a while.
 *
 * <p>A target that is leaving gets no further request until it starts again, whatever the target
 * list says, because that list lags and may be written late. A target that asked for a pause gets
 * no request from this instance until the pause is over.
 *
 * <pre>{@code
 * notices.onLeaving(target, now);
 * notices.status(target, now); // TargetNotice.Leaving
 * }</pre>
 */
public final class TargetNotices {
  /** The pause after a rejection that names none. */
  static final Duration DEFAULT_PAUSE = Duration.ofMillis(100);

  /** A longer pause comes from a misconfigured target and would take it out of use for good. */
  public static final Duration MAX_PAUSE = Duration.ofMinutes(5);

  /**
   * How long a target without a known start counts as leaving, because its restart can't be
   * recognized. Longer than a planned stop of a target takes.
   */
  static final Duration MAX_LEAVING_TIME_WITHOUT_START = Duration.ofSeconds(60);

  /**
   * The range of the random delay after a requested pause, as a fraction of the pause. Without it,
   * all instances return to a target at the moment at which its overload ends.
   */
  static final double PAUSE_SPREAD = 0.25;

  /** The maximum random delay after a requested pause. */
  static final Duration MAX_PAUSE_SPREAD = Duration.ofSeconds(1);

  /** Bounds the memory for targets that left; older ones are no longer listed. */
  private static final int MAX_LEAVING_TARGETS = 4_096;

  private record LeavingStart(long startedAtMillis, ClockReading noticedAt) {}

  private final UniformRandomProvider random;
  private final Map<TargetId, ClockReading> pauseEnds = new HashMap<>();
  private final Map<TargetId, LeavingStart> leaving =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, LeavingStart> eldest) {
          return size() > MAX_LEAVING_TARGETS;
        }
      };

  /**
   * Creates a record without any notice.
   *
   * @param random the source of random numbers, seeded by the caller
   */
  public TargetNotices(UniformRandomProvider random) {
    this.random = random;
  }

  /**
   * Records that a target announced that it is leaving.
   *
   * @param target the target
   * @param now the current time
   * @return whether this was not known
   */
  public boolean onLeaving(Target target, ClockReading now) {
    return onLeaving(target.id(), target.startedAtMillis(), now);
  }

  /**
   * Records that a target announced to a peer that it is leaving. A notice of an earlier start than
   * the known one is ignored.
   *
   * @param target the target
   * @param startedAtMillis the Unix time in ms of the start that is leaving, 0 if unknown
   * @param now the current time
   * @return whether this was not known
   */
  public boolean onLeaving(TargetId target, long startedAtMillis, ClockReading now) {
    LeavingStart known = leaving.get(target);
    if (known != null && known.startedAtMillis() > startedAtMillis) {
      return false;
    }
    boolean isNew = known == null || known.startedAtMillis() < startedAtMillis;
    leaving.put(target, new LeavingStart(startedAtMillis, now));
    return isNew;
  }

  /**
   * Records that a target rejected a request without running it.
   *
   * @param target the target
   * @param retryAfter the pause that it asked for, if any
   * @param now the current time
   */
  public void onRejected(TargetId target, Optional<Duration> retryAfter, ClockReading now) {
    ClockReading end = now.plus(retryAfter.map(this::boundedAndSpread).orElse(DEFAULT_PAUSE));
    pauseEnds.merge(target, end, (known, next) -> known.isAfter(next) ? known : next);
  }

  private Duration boundedAndSpread(Duration requested) {
    Duration pause = requested.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : requested;
    double spreadNanos =
        Math.min(pause.toNanos() * PAUSE_SPREAD, (double) MAX_PAUSE_SPREAD.toNanos());
    return pause.plusNanos((long) (spreadNanos * random.nextDouble()));
  }

  /**
   * Returns the notice of a target that is in force.
   *
   * @param target the target
   * @param now the current time
   * @return the notice; empty if requests may be sent
   */
  public Optional<TargetNotice> notice(Target target, ClockReading now) {
    if (isLeaving(target, now)) {
      return Optional.of(new TargetNotice.Leaving());
    }
    return pauseEnd(target.id(), now).map(TargetNotice.Paused::new);
  }

  private boolean isLeaving(Target target, ClockReading now) {
    LeavingStart start = leaving.get(target.id());
    if (start == null) {
      return false;
    }
    if (target.hasStartTime()) {
      return target.startedAtMillis() <= start.startedAtMillis();
    }
    return now.since(start.noticedAt()).compareTo(MAX_LEAVING_TIME_WITHOUT_START) < 0;
  }

  private Optional<ClockReading> pauseEnd(TargetId target, ClockReading now) {
    ClockReading end = pauseEnds.get(target);
    if (end == null) {
      return Optional.empty();
    }
    if (!now.isBefore(end)) {
      pauseEnds.remove(target);
      return Optional.empty();
    }
    return Optional.of(end);
  }

  /**
   * Returns the starts that are leaving, to pass them on to a peer that has just started.
   *
   * @return the Unix time in ms of the leaving start by target, 0 if unknown
   */
  public Map<TargetId, Long> leavingStarts() {
    Map<TargetId, Long> starts = new HashMap<>();
    leaving.forEach((target, start) -> starts.put(target, start.startedAtMillis()));
    return starts;
  }
}
