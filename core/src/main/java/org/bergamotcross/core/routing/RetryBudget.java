package org.bergamotcross.core.routing;

/** The retries that a pool may still get: a tenth of its requests, less after it was used up. */
final class RetryBudget {
  /** Lets the first failures after a start be retried. */
  static final double INITIAL = 3.0;

  /** More would turn the loss of a failure domain after a quiet hour into a burst of retries. */
  static final double LIMIT = 20.0;

  static final double SHARE = 0.1;

  /** A quarter of the share until half of the limit is back, so that a recovery is not undone. */
  static final double SHARE_IN_RECOVERY = SHARE / 4;

  private double left = INITIAL;
  private boolean recovering;

  void onRequest() {
    left = Math.min(LIMIT, left + (recovering ? SHARE_IN_RECOVERY : SHARE));
    recovering = recovering && left < LIMIT / 2;
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
