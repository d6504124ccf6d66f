package org.bergamotcross.entry.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.entry.Broadcasts.HeartbeatEcho;
import org.bergamotcross.kernel.ClockReading;

/**
 * Collects echoes of heartbeats until the other duties need them.
 *
 * <p>An echo that only confirms what is known extends leases of seconds and may wait. With many
 * peers nearly all echoes are of this kind, and waking a duty for each of them costs more than the
 * echo itself.
 */
final class EchoBatch {
  /** How long an echo that only confirms what is known waits. */
  static final Duration MAX_DELAY = Duration.ofMillis(100);

  private final Map<InstanceId, HeartbeatEcho> latest = new HashMap<>();
  private List<HeartbeatEcho> pending = new ArrayList<>();
  private Optional<ClockReading> dueAt = Optional.empty();

  /**
   * Adds an echo.
   *
   * @param echo the echo
   * @param now the current time
   */
  void add(HeartbeatEcho echo, ClockReading now) {
    HeartbeatEcho before = latest.put(echo.peer().id(), echo);
    pending.add(echo);
    if (before == null || isNews(before, echo)) {
      dueAt = Optional.of(now);
    } else if (dueAt.isEmpty()) {
      dueAt = Optional.of(now.plus(MAX_DELAY));
    }
  }

  private static boolean isNews(HeartbeatEcho before, HeartbeatEcho echo) {
    return !before.peer().equals(echo.peer())
        || before.offset() != echo.offset()
        || !before.delegation().equals(echo.delegation());
  }

  /**
   * Removes all collected echoes if one of them is due.
   *
   * @param now the current time
   * @return the echoes in the order in which they were added; empty if none is due
   */
  List<HeartbeatEcho> takeDue(ClockReading now) {
    if (dueAt.filter(at -> !now.isBefore(at)).isEmpty()) {
      return List.of();
    }
    List<HeartbeatEcho> due = pending;
    pending = new ArrayList<>();
    dueAt = Optional.empty();
    return due;
  }

  /** Returns when the next echo is due, or empty if none is collected. */
  Optional<ClockReading> dueAt() {
    return dueAt;
  }

  /**
   * Forgets the peers that no longer exist.
   *
   * @param peers the known peers
   */
  void retainPeers(Collection<InstanceId> peers) {
    latest.keySet().retainAll(peers);
  }
}
