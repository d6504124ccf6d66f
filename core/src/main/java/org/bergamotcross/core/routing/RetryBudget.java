package org.bergamotcross.core.routing;

/**
 * The retry budget of a pool, refilled by a share of its requests and more slowly after it was
 * exhausted.
 */
final class RetryBudget {
  /** Allows retries of the first failures after a start. */
  static final double INITIAL_RETRIES = 3.0;

  /**
   * A larger reserve would let the loss of a failure domain after an idle period cause a burst of
   * retries.
   */
  static final double MAX_RETRIES = 20.0;

  static final double DEFAULT_RETRIES_PER_REQUEST = 0.1;

  /**
   * Refills at a quarter of the rate until half of the maximum is back, so that retries do not undo
   * a recovery.
   */
  private static final double RECOVERY_FACTOR = 0.25;

  /** Keeps restarted instances from adding a full reserve each time. */
  private static final double INITIAL_RETRIES_FLEET_WIDE = 1.0;

  private final double refillPerRequest;
  private final double recoveryRefillPerRequest;
  private double maxRetries;
  private double availableRetries;
  private boolean isRecovering;

  private RetryBudget(
      double refillPerRequest,
      double recoveryRefillPerRequest,
      double maxRetries,
      double availableRetries) {
    this.refillPerRequest = refillPerRequest;
    this.recoveryRefillPerRequest = recoveryRefillPerRequest;
    this.maxRetries = maxRetries;
    this.availableRetries = availableRetries;
  }

  RetryBudget() {
    this(
        DEFAULT_RETRIES_PER_REQUEST,
        DEFAULT_RETRIES_PER_REQUEST * RECOVERY_FACTOR,
        MAX_RETRIES,
        INITIAL_RETRIES);
  }

  /**
   * Creates one instance's part of a fleet-wide budget; the caller bounds the sum over the fleet.
   */
  static RetryBudget fleetWide(double refillPerRequest, double reserve) {
    return new RetryBudget(
        refillPerRequest, refillPerRequest, Math.max(1, reserve), INITIAL_RETRIES_FLEET_WIDE);
  }

  void updateMaxRetries(double reserve) {
    maxRetries = Math.max(1, reserve);
    availableRetries = Math.min(availableRetries, maxRetries);
  }

  void onRequest() {
    availableRetries =
        Math.min(
            maxRetries,
            availableRetries + (isRecovering ? recoveryRefillPerRequest : refillPerRequest));
    isRecovering = isRecovering && availableRetries < maxRetries / 2;
  }

  boolean tryTake() {
    if (availableRetries < 1) {
      isRecovering = true;
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
