package org.bergamotcross.core.routing;

import java.time.Duration;
import org.bergamotcross.kernel.ClockReading;

/**
 * Learns how many requests the targets of a pool can run at once.
 *
 * <p>Answers a load under which targets fail, slow down or are removed together, so that their
 * slots say little about the room of the pool. The room is at most the slots of the targets that
 * are expected to work. While requests wait there for too long, the work that the pool completes is
 * all that it can do, and the room falls to it; otherwise it rises again.
 */
public final class PoolRoom {
  /** The growth of the room in a second without waiting. */
  static final double GROWTH_PER_SECOND = 0.4;

  /**
   * The factor by which the room falls at once at most, because the completed work is still low
   * when a wave begins.
   */
  static final double MAX_LOWERING = 0.9;

  /** The time after which the completed work shows the effect of a lowering. */
  static final Duration MIN_LOWERING_INTERVAL = Duration.ofSeconds(1);

  private static final double NANOS_PER_SECOND = 1e9;

  private double slots;
  private double room;
  private ClockReading updatedAt;
  private ClockReading loweredAt;

  /**
   * Creates a room of all slots.
   *
   * @param slots the slots of the pool
   * @param now the current time
   */
  public PoolRoom(int slots, ClockReading now) {
    this.slots = slots;
    this.room = slots;
    this.updatedAt = now;
    this.loweredAt = now;
  }

  /**
   * Adapts the room.
   *
   * @param occupied the mean number of slots that completed useful work
   * @param isWaiting whether responses wait longer at the targets than callers can bear
   * @param now the current time
   */
  public void update(double occupied, boolean isWaiting, ClockReading now) {
    Duration elapsed = now.since(updatedAt);
    updatedAt = now;
    if (isWaiting) {
      if (now.since(loweredAt).compareTo(MIN_LOWERING_INTERVAL) >= 0) {
        loweredAt = now;
        double lowest = Math.max(occupied, room * MAX_LOWERING);
        room = Math.min(room, Math.max(1, lowest));
      }
    } else {
      double growth = 1 + GROWTH_PER_SECOND * elapsed.toNanos() / NANOS_PER_SECOND;
      room = Math.min(slots, room * growth);
    }
  }

  /**
   * Applies what is known about the targets.
   *
   * @param soundSlots the slots of the pool without the part that is expected to fail
   */
  public void updateSlots(double soundSlots) {
    slots = soundSlots;
  }

  /**
   * Returns the room.
   *
   * @return the mean number of requests that the pool can run
   */
  public double size() {
    return Math.min(room, slots);
  }
}
