package org.bergamotcross.core.routing;

/** The retries that a pool may still get: a share of its requests, less after it was used up. */
final class RetryBudget {
  /** Lets the first failures after a start be retried. */
  static final double INITIAL = 3.0;

  /** More would turn the loss of a failure domain after a quiet hour into a burst of retries. */
  static final double LIMIT = 20.0;

  static final double SHARE = 0.1;

  /** A quarter of the share until half of the limit is back, so that a recovery is not undone. */
  private static final double RECOVERY_PART = 0.25;

  /** An instance that starts anew must not bring the reserve of a whole life with it. */
  private static final double INITIAL_OF_FLEET = 1.0;

  private final double share;
  private final double shareInRecovery;
  private double limit;
  private double left;
  private boolean recovering;

  private RetryBudget(double share, double shareInRecovery, double limit, double left) {
    this.share = share;
    this.shareInRecovery = shareInRecovery;
    this.limit = limit;
    this.left = left;
  }

  RetryBudget() {
    this(SHARE, SHARE * RECOVERY_PART, LIMIT, INITIAL);
  }

  /** Creates the part of one instance in a budget whose sum over the fleet is bounded elsewhere. */
  static RetryBudget ofFleet(double share, double reserve) {
    return new RetryBudget(share, share, Math.max(1, reserve), INITIAL_OF_FLEET);
  }

  void limit(double reserve) {
    limit = Math.max(1, reserve);
    left = Math.min(left, limit);
  }

  void onRequest() {
    left = Math.min(limit, left + (recovering ? shareInRecovery : share));
    recovering = recovering && left < limit / 2;
  }

  boolean take() {
    if (left < 1) {
      recovering = true;
      return false;
    }
    left -= 1;
    return true;
  }
}
