package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/**
 * A token bucket whose loans count against its burst until their tokens can no longer be used.
 *
 * <p>The level plus the outstanding tokens never exceed the burst. Tokens used in a time window
 * were either outstanding at its start or granted within it, so their number is at most {@code rate
 * x time + burst}, although a token is used later than it is granted.
 */
final class TokenBucket {
  /** How long a loan counts: 1 s of use and 250 ms for the drift between two clocks. */
  static final Duration LOAN_VALIDITY = Duration.ofMillis(1250);

  /** Limits the memory of one bucket; further requests get no tokens until loans end. */
  static final int MAX_LOANS = 4096;

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Identifies a loan.
   *
   * @param borrower the instance that borrowed the tokens
   * @param incarnation the incarnation of the borrower
   * @param ask the number of the request
   */
  record LoanKey(InstanceId borrower, long incarnation, long ask) {}

  private static final class Loan {
    final double amount;
    final ClockReading expiresAt;
    double used;
    double returned;

    Loan(double amount, ClockReading expiresAt) {
      this.amount = amount;
      this.expiresAt = expiresAt;
    }

    double unsettled() {
      return Math.max(0, amount - used - returned);
    }
  }

  // In order of granting, which is also the order of expiry.
  private final Map<LoanKey, Loan> loans = new LinkedHashMap<>();
  private double rate;
  private double burst;
  private double level;
  private double outstanding;
  private ClockReading refilledAt;

  TokenBucket(double rate, double burst, ClockReading now) {
    this.rate = rate;
    this.burst = burst;
    this.refilledAt = now;
  }

  /**
   * Creates a bucket from the state handed over by another holder, whose outstanding tokens count
   * as one unsettled loan.
   */
  static TokenBucket fromHandover(
      double rate, double burst, double level, double outstanding, ClockReading now) {
    TokenBucket bucket = new TokenBucket(rate, burst, now);
    bucket.level = Math.max(0, Math.min(level, burst - outstanding));
    bucket.add(new LoanKey(new InstanceId(""), 0, 0), outstanding, now);
    return bucket;
  }

  /** Changes rate and burst; this never raises the level. */
  void resize(double newRate, double newBurst, ClockReading now) {
    refill(now);
    rate = newRate;
    burst = newBurst;
    level = Math.max(0, Math.min(level, burst - outstanding));
  }

  /**
   * Grants a loan: needed tokens from the level, prefetched tokens only from what exceeds half the
   * burst.
   */
  double grant(LoanKey key, TokenRequest request, ClockReading now) {
    refill(now);
    if (loans.containsKey(key) || loans.size() >= MAX_LOANS) {
      return 0;
    }
    double amount =
        request.exact()
            ? allOrNothing(request.needed())
            : wholeTokens(Math.min(request.needed(), level));
    double spare = level - amount - burst / 2;
    if (!request.exact() && spare > 0) {
      amount += wholeTokens(Math.min(Math.max(0, request.wanted() - amount), spare));
    }
    level -= amount;
    add(key, amount, now);
    return amount;
  }

  private double allOrNothing(double needed) {
    return needed <= level ? needed : 0;
  }

  // The tolerance absorbs floating-point rounding only; it is far below one token.
  private static double wholeTokens(double tokens) {
    return Math.max(0, Math.floor(tokens + 1e-9));
  }

  private void add(LoanKey key, double amount, ClockReading now) {
    if (amount > 0) {
      loans.put(key, new Loan(amount, now.plus(LOAN_VALIDITY)));
      outstanding += amount;
    }
  }

  /** Settles a loan: removes used tokens from the outstanding ones and puts returned ones back. */
  void settle(LoanKey key, TokenRequest.Settlement settlement, ClockReading now) {
    refill(now);
    Loan loan = loans.get(key);
    if (loan == null) {
      return;
    }
    double before = loan.unsettled();
    double returnedBefore = loan.returned;
    loan.returned = Math.min(loan.amount, Math.max(loan.returned, settlement.returned()));
    loan.used = Math.min(loan.amount, Math.max(loan.used, settlement.used()));
    outstanding -= before - loan.unsettled();
    level += Math.min(before - loan.unsettled(), loan.returned - returnedBefore);
    if (loan.unsettled() <= 0) {
      loans.remove(key);
    }
    level = Math.max(0, Math.min(level, burst - outstanding));
  }

  // Refills up to each expiry in turn, because a loan limits the level until it expires.
  void refill(ClockReading now) {
    Iterator<Loan> oldest = loans.values().iterator();
    while (oldest.hasNext()) {
      Loan loan = oldest.next();
      if (loan.expiresAt.isAfter(now)) {
        break;
      }
      refillUntil(loan.expiresAt);
      outstanding = Math.max(0, outstanding - loan.unsettled());
      oldest.remove();
    }
    refillUntil(now);
    if (loans.isEmpty()) {
      outstanding = 0;
    }
  }

  private void refillUntil(ClockReading now) {
    if (now.isAfter(refilledAt)) {
      double gained = now.since(refilledAt).toNanos() / NANOS_PER_SECOND * rate;
      level = Math.max(0, Math.min(level + gained, burst - outstanding));
      refilledAt = now;
    }
  }

  boolean hasWholeToken() {
    return wholeTokens(level) >= 1;
  }

  double level() {
    return level;
  }

  double outstanding() {
    return outstanding;
  }
}
