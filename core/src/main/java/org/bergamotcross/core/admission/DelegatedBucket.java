package org.bergamotcross.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.kernel.ClockReading;

/**
 * A token bucket that fills with a varying fraction of an organisation's rate.
 *
 * <p>Tokens granted to another instance count against the burst until they can no longer be used.
 * As long as the fractions of all buckets add up to at most 1, at most {@code rate x time + burst}
 * tokens are used in any period, except for a bucket below one token, see {@link #resize}.
 */
final class DelegatedBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  // Absorbs floating-point rounding only; far below one token.
  private static final double ROUNDING_TOLERANCE_TOKENS = 1e-9;

  private record OutstandingGrant(int amount, ClockReading until) {}

  private final RateTolerance tolerance;
  private final Deque<OutstandingGrant> outstandingGrants = new ArrayDeque<>();
  private Organisation organisation;
  private double fraction;
  private double rate;
  private double burst;
  private double level;
  private int outstanding;
  private ClockReading refilledAt;

  DelegatedBucket(Organisation organisation, RateTolerance tolerance, ClockReading now) {
    this.organisation = organisation;
    this.tolerance = tolerance;
    this.refilledAt = now;
  }

  /**
   * Sets the fraction of the rate that is held from now on.
   *
   * <p>The time since the last call is credited at the smaller of the old and the new fraction. A
   * bucket whose burst is below one token would never grant any, so its burst is raised to one
   * token and the rate lowered such that the tokens of a tolerance window stay the same.
   *
   * @param limit the organisation with its rate and burst
   * @param newFraction the fraction of the rate, from 0 to 1
   * @param now the current time
   */
  void resize(Organisation limit, double newFraction, ClockReading now) {
    if (newFraction < fraction) {
      setRateAndBurst(organisation, newFraction);
    }
    refill(now);
    setRateAndBurst(limit, newFraction);
    level = Math.max(0, Math.min(level, burst - outstanding));
  }

  private void setRateAndBurst(Organisation limit, double newFraction) {
    organisation = limit;
    fraction = newFraction;
    double windowTokens =
        fraction * (limit.rate() * tolerance.windowSeconds() + tolerance.toleratedBurst(limit));
    boolean grantsAny = windowTokens >= 1;
    burst = grantsAny ? Math.max(1, fraction * tolerance.toleratedBurst(limit)) : 0;
    rate =
        grantsAny
            ? Math.min(fraction * limit.rate(), (windowTokens - burst) / tolerance.windowSeconds())
            : 0;
  }

  // Refills up to the end of each expired grant in turn, because a grant limits the level until it
  // expires.
  private void refill(ClockReading now) {
    while (!outstandingGrants.isEmpty() && !now.isBefore(outstandingGrants.peek().until())) {
      refillUntil(outstandingGrants.peek().until());
      outstanding -= outstandingGrants.poll().amount();
    }
    refillUntil(now);
  }

  private void refillUntil(ClockReading now) {
    if (now.isAfter(refilledAt)) {
      level += now.since(refilledAt).toNanos() / NANOS_PER_SECOND * rate;
      refilledAt = now;
    }
    level = Math.max(0, Math.min(level, burst - outstanding));
  }

  /** Takes up to {@code needed} tokens for immediate use. */
  int take(int needed, ClockReading now) {
    refill(now);
    int amount = (int) Math.min(needed, Math.floor(level + ROUNDING_TOLERANCE_TOKENS));
    level -= amount;
    return amount;
  }

  /** Grants up to {@code needed} tokens that another instance may use until {@code until}. */
  int grant(int needed, ClockReading until, ClockReading now) {
    int amount = take(needed, now);
    if (amount > 0) {
      outstandingGrants.add(new OutstandingGrant(amount, until));
      outstanding += amount;
    }
    return amount;
  }

  /**
   * Returns the milliseconds until the bucket has a whole token; {@code Long.MAX_VALUE} if never.
   */
  long millisToNextToken(ClockReading now) {
    refill(now);
    double missing = 1 - level;
    if (missing <= ROUNDING_TOLERANCE_TOKENS) {
      return 0;
    }
    return rate <= 0 ? Long.MAX_VALUE : (long) Math.ceil(missing / rate * MILLIS_PER_SECOND);
  }

  /** Returns the fraction of the rate that this bucket holds. */
  double fraction() {
    return fraction;
  }
}
