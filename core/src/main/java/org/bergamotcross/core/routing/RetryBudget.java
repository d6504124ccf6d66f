package org.bergamotcross.core.routing;

/** The retries that a pool may still get: a share of its requests, less after it was used up. */
final class RetryBudget {
  /** Lets the first failures after a start be retried. */
  static final double INITIAL_RETRIES = 3.0;

  /** More would turn the loss of a failure domain after a quiet hour into a burst of retries. */
  static final double MAX_RETRIES = 20.0;

  static final double DEFAULT_RETRIES_PER_REQUEST = 0.1;

  /** A quarter of the share until half of the limit is back, so that a recovery is not undone. */
  private static final double RECOVERY_FACTOR = 0.25;

  /** An instance that starts anew must not bring the reserve of a whole life with it. */
  private static final double INITIAL_RETRIES_FLEET_WIDE = 1.0;

  private final double refillPerRequest;
  private final double recoveryRefillPerRequest;
  private double maxRetries;
  private double availableRetries;
  private boolean recovering;

  private RetryBudget(double share, double shareInRecovery, double limit, double left) {
    this.refillPerRequest = share;
    this.recoveryRefillPerRequest = shareInRecovery;
    this.maxRetries = limit;
    this.availableRetries = left;
  }

  RetryBudget() {
    this(
        DEFAULT_RETRIES_PER_REQUEST,
        DEFAULT_RETRIES_PER_REQUEST * RECOVERY_FACTOR,
        MAX_RETRIES,
        INITIAL_RETRIES);
  }

  /** Creates the part of one instance in a budget whose sum over the fleet is bounded elsewhere. */
  static RetryBudget fleetWide(double share, double reserve) {
    return new RetryBudget(share, share, Math.max(1, reserve), INITIAL_RETRIES_FLEET_WIDE);
  }

  void maxRetries(double reserve) {
    maxRetries = Math.max(1, reserve);
    availableRetries = Math.min(availableRetries, maxRetries);
  }

  void onRequest() {
    availableRetries =
        Math.min(
            maxRetries,
            availableRetries + (recovering ? recoveryRefillPerRequest : refillPerRequest));
    recovering = recovering && availableRetries < maxRetries / 2;
  }

  boolean tryTake() {
    if (availableRetries < 1) {
      recovering = true;
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
