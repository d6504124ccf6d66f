package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.bergamotcross.kernel.ClockReading;

/**
 * Estimates from the reports of all instances which share of the requests of each priority a pool
 * can serve.
 *
 * <p>Answers a load that exceeds the room of a pool while each instance sees a request of it only
 * every second: all instances compute about the same shares from the same reports, so that none
 * serves a less urgent priority while another refuses a more urgent one. Reports are forgotten
 * within a few seconds, so that a partition can't block a priority.
 */
public final class PoolPressure {
  /** Longer than the interval of the reports, so that their arrival does not cause swings. */
  static final Duration TIME_CONSTANT = Duration.ofSeconds(1);

  /**
   * The share of the time that the objective leaves beyond the usual duration which a request may
   * wait at a target; a longer wait makes the response late.
   */
  public static final double MAX_WAIT_SHARE = 1;

  /**
   * The share of the requests that may wait longer or be rejected, because some targets are slow
   * while others have room.
   */
  static final double MAX_WAITED_SHARE = 0.4;

  /** Below this number of responses the mean wait says nothing. */
  private static final double MIN_RESPONSES = 3;

  /** A decaying sum. */
  private static final class Recent {
    private double sum;

    private void decay(double factor) {
      sum *= factor;
    }
  }

  private final PoolRoom room;
  private final double maxWaitShare;
  private final Map<Integer, Recent> demand = new TreeMap<>();
  private final Map<Integer, Double> shares = new HashMap<>();
  private double responses;
  private double waited;
  private double workMillis;
  private double rejections;
  private final Map<String, Long> slackMillis = new HashMap<>();
  private ClockReading updatedAt;

  /**
   * Creates an estimate without pressure.
   *
   * @param slots the slots of the pool
   * @param now the current time
   */
  public PoolPressure(int slots, ClockReading now) {
    this(slots, MAX_WAIT_SHARE, now);
  }

  /**
   * Creates an estimate with a limit of its own.
   *
   * @param slots the slots of the pool
   * @param maxWaitShare the share of the time left by the objective that requests may wait
   * @param now the current time
   */
  public PoolPressure(int slots, double maxWaitShare, ClockReading now) {
    this.room = new PoolRoom(slots, now);
    this.maxWaitShare = maxWaitShare;
    this.updatedAt = now;
  }

  /**
   * Records the time that the objective of a request leaves beyond its usual duration. The smallest
   * one of all routes limits the wait at the targets.
   *
   * @param route the name of the route
   * @param slack the latency objective without the usual duration
   */
  public void recordSlack(String route, Duration slack) {
    slackMillis.put(route, Math.max(1, slack.toMillis()));
  }

  /**
   * Adds a report of this instance or of a peer.
   *
   * @param report the report
   * @param now the current time
   */
  public void add(PoolReport report, ClockReading now) {
    decay(now);
    responses += report.responses();
    waited += report.waited();
    workMillis += report.workMillis();
    rejections += report.rejections();
    report
        .demandMillis()
        .forEach(
            (priority, millis) ->
                demand.computeIfAbsent(priority, key -> new Recent()).sum += millis);
    update(now);
  }

  private void decay(ClockReading now) {
    double factor = Math.exp(-now.since(updatedAt).toNanos() / (double) TIME_CONSTANT.toNanos());
    updatedAt = now;
    responses *= factor;
    waited *= factor;
    workMillis *= factor;
    rejections *= factor;
    demand.values().forEach(recent -> recent.decay(factor));
  }

  private void update(ClockReading now) {
    double unitMillis = TIME_CONSTANT.toMillis();
    room.update(workMillis / unitMillis, isWaiting(), now);
    double left = room.size() * unitMillis;
    for (Map.Entry<Integer, Recent> entry : demand.entrySet()) {
      double wanted = entry.getValue().sum;
      shares.put(entry.getKey(), wanted <= left ? 1 : Math.max(0, left / Math.max(1, wanted)));
      left = Math.max(0, left - wanted);
    }
  }

  /**
   * Applies what is known about the targets.
   *
   * @param soundSlots the slots of the pool without the part that is expected to fail
   */
  public void updateSoundSlots(double soundSlots) {
    room.updateSlots(soundSlots);
  }

  /**
   * Returns whether a request waited too long at a target.
   *
   * @param wait the time by which its response took longer than usual
   * @return whether the wait used up too much of what the objectives leave
   */
  public boolean isTooLong(Duration wait) {
    return !slackMillis.isEmpty()
        && wait.toMillis() > maxWaitShare * Collections.min(slackMillis.values());
  }

  /**
   * Returns whether requests wait longer at the targets than the objectives allow.
   *
   * @return whether they do, on average over the recent reports
   */
  public boolean isWaiting() {
    double ends = responses + rejections;
    if (ends < MIN_RESPONSES) {
      return false;
    }
    return waited + rejections > MAX_WAITED_SHARE * ends;
  }

  /**
   * Returns the share of the requests of a priority that the pool can serve.
   *
   * @param priority the priority; 0 is served first
   * @return the share, from 0 to 1
   */
  public double share(int priority) {
    return shares.getOrDefault(priority, 1.0);
  }

  /**
   * Returns whether the pool has too little room, so that a long duration says little about its
   * target.
   *
   * @return whether requests wait too long, or some can't be served
   */
  public boolean isLimited() {
    return isWaiting() || shares.values().stream().anyMatch(share -> share < 1);
  }

  /**
   * Returns the learned room of the pool.
   *
   * @return the room
   */
  public PoolRoom room() {
    return room;
  }
}
