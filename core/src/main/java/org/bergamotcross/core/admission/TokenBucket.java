package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.Now;

/**
 * A token bucket whose granted tokens count against its burst until they can no longer be used.
 *
 * <p>At any time the level and the outstanding tokens together are at most the burst. The tokens
 * used in a window are the outstanding ones at its start and those granted in it, so they are at
 * most {@code rate x time + burst}, although a token is used later than it is granted.
 */
final class TokenBucket {
  /** A grant counts this long: 1 s of use and 250 ms for the drift between two clocks. */
  static final Duration LOAN = Duration.ofMillis(1250);

  /** Bounds the memory of one bucket; further asks get nothing until loans end. */
  static final int MAX_LOANS = 4096;

  private static final double NANOS = 1e9;

  /**
   * Identifies a loan.
   *
   * @param borrower the borrower
   * @param incarnation its incarnation
   * @param ask the number of its ask
   */
  record LoanKey(InstanceId borrower, long incarnation, long ask) {}

  private static final class Loan {
    final double amount;
    final Now expiresAt;
    double used;
    double returned;

    Loan(double amount, Now expiresAt) {
      this.amount = amount;
      this.expiresAt = expiresAt;
    }

    double open() {
      return Math.max(0, amount - used - returned);
    }
  }

  // In the order of granting, which is the order of expiry.
  private final Map<LoanKey, Loan> loans = new LinkedHashMap<>();
  private double rate;
  private double burst;
  private double level;
  private double outstanding;
  private Now refilledAt;

  TokenBucket(double rate, double burst, Now now) {
    this.rate = rate;
    this.burst = burst;
    this.refilledAt = now;
  }

  /** Takes over the state of another holder's bucket; its grants count as one unsettled loan. */
  static TokenBucket takenOver(
      double rate, double burst, double level, double outstanding, Now now) {
    TokenBucket bucket = new TokenBucket(rate, burst, now);
    bucket.level = Math.max(0, Math.min(level, burst - outstanding));
    bucket.add(new LoanKey(new InstanceId(""), 0, 0), outstanding, now);
    return bucket;
  }

  /** Changes rate and burst; the level never rises by it. */
  void resize(double newRate, double newBurst, Now now) {
    refill(now);
    rate = newRate;
    burst = newBurst;
    level = Math.max(0, Math.min(level, burst - outstanding));
  }

  /** Grants tokens: what is needed from the level, what is prefetched from above half the burst. */
  double grant(LoanKey key, TokenAsk ask, Now now) {
    refill(now);
    if (loans.containsKey(key) || loans.size() >= MAX_LOANS) {
      return 0;
    }
    double amount = ask.exact() ? exactly(ask.needed()) : whole(Math.min(ask.needed(), level));
    double spare = level - amount - burst / 2;
    if (!ask.exact() && spare > 0) {
      amount += whole(Math.min(Math.max(0, ask.wanted() - amount), spare));
    }
    level -= amount;
    add(key, amount, now);
    return amount;
  }

  private double exactly(double needed) {
    return needed <= level ? needed : 0;
  }

  // The tolerance hides rounding only; it is far below what any test or caller can see.
  private static double whole(double tokens) {
    return Math.max(0, Math.floor(tokens + 1e-9));
  }

  private void add(LoanKey key, double amount, Now now) {
    if (amount > 0) {
      loans.put(key, new Loan(amount, now.plus(LOAN)));
      outstanding += amount;
    }
  }

  /** Counts off tokens that were used and takes back those that were given up. */
  void settle(LoanKey key, TokenAsk.Settlement settlement, Now now) {
    refill(now);
    Loan loan = loans.get(key);
    if (loan == null) {
      return;
    }
    double before = loan.open();
    double returnedBefore = loan.returned;
    loan.returned = Math.min(loan.amount, Math.max(loan.returned, settlement.returned()));
    loan.used = Math.min(loan.amount, Math.max(loan.used, settlement.used()));
    outstanding -= before - loan.open();
    level += Math.min(before - loan.open(), loan.returned - returnedBefore);
    if (loan.open() <= 0) {
      loans.remove(key);
    }
    level = Math.max(0, Math.min(level, burst - outstanding));
  }

  // The level is capped at each expiry in turn: a loan that ended meanwhile has kept the bucket
  // from filling until its end.
  void refill(Now now) {
    Iterator<Loan> oldest = loans.values().iterator();
    while (oldest.hasNext()) {
      Loan loan = oldest.next();
      if (loan.expiresAt.isAfter(now)) {
        break;
      }
      fillUntil(loan.expiresAt);
      outstanding = Math.max(0, outstanding - loan.open());
      oldest.remove();
    }
    fillUntil(now);
    if (loans.isEmpty()) {
      outstanding = 0;
    }
  }

  private void fillUntil(Now now) {
    if (now.isAfter(refilledAt)) {
      double gained = now.since(refilledAt).toNanos() / NANOS * rate;
      level = Math.max(0, Math.min(level + gained, burst - outstanding));
      refilledAt = now;
    }
  }

  boolean hasWholeToken() {
    return whole(level) >= 1;
  }

  double level() {
    return level;
  }

  double outstanding() {
    return outstanding;
  }
}
