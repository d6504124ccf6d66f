package org.bergamotcross.core.admission;

import org.bergamotcross.kernel.Now;

/** A token bucket that one instance owns; granted tokens leave it at once. */
final class OwnedBucket {
  /** The first owner and each later one start with this, so that a change creates no burst. */
  private static final double INITIAL_LEVEL = 1;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  private double rate;
  private double burst;
  private double level = INITIAL_LEVEL;
  private Now filledAt;

  OwnedBucket(double rate, double burst, Now now) {
    this.rate = rate;
    this.burst = burst;
    this.filledAt = now;
  }

  /** Changes rate and burst; the level never rises by it. */
  void resize(double newRate, double newBurst, Now now) {
    fill(now);
    rate = newRate;
    burst = newBurst;
    level = Math.min(level, burst);
  }

  /** Takes what is needed from the level, and what is prefetched from above half of the burst. */
  int take(int needed, int wanted, Now now) {
    fill(now);
    int amount = (int) Math.min(needed, Math.floor(level));
    double spare = level - amount - burst / 2;
    if (amount == needed && spare >= 1) {
      amount += (int) Math.min(wanted - needed, Math.floor(spare));
    }
    level -= amount;
    return amount;
  }

  /** Returns the time in ms until the bucket has a whole token. */
  long millisToToken(Now now) {
    fill(now);
    return (long) Math.ceil(Math.max(0, 1 - level) / rate * MILLIS_PER_SECOND);
  }

  private void fill(Now now) {
    if (now.isAfter(filledAt)) {
      double gained = now.since(filledAt).toNanos() / NANOS_PER_SECOND * rate;
      level = Math.min(burst, level + gained);
      filledAt = now;
    }
  }
}
