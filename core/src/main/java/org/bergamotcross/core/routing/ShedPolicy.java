package org.bergamotcross.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.bergamotcross.core.config.OrganisationId;

/**
 * Decides at once whether a request is sent while a pool has too little room.
 *
 * <p>Answers callers who compete for too little room: a request that can't be served is refused
 * before it has cost its caller time. Each organisation gets the same share of what it asks for: a
 * refused request leaves its part to the next one of the same organisation and priority, which is
 * therefore served earlier.
 */
public final class ShedPolicy {
  /** The result of a decision. */
  public sealed interface Decision {
    /** The request is sent, or queued until a target is free. */
    record Send() implements Decision {}

    /**
     * The request is refused.
     *
     * @param retryAfter when its caller may come back
     */
    record Refuse(Duration retryAfter) implements Decision {}
  }

  /**
   * A request that returns within this part of the time that it has left still finds its response
   * on time.
   */
  private static final int TIME_LEFT_DIVISOR = 3;

  /** Bounds the memory for organisations that have left. */
  private static final int MAX_CREDITS = 10_000;

  private record Claimant(OrganisationId organisation, int priority) {}

  private final UniformRandomProvider random;
  private final Map<Claimant, Double> credits = new HashMap<>();

  /**
   * Creates a policy that has refused nothing.
   *
   * @param random the source of random numbers, seeded by the caller
   */
  public ShedPolicy(UniformRandomProvider random) {
    this.random = random;
  }

  /**
   * Decides on a request that has not been sent.
   *
   * @param share the share of the requests of its priority that the pool can serve
   * @param organisation the organisation
   * @param priority its priority
   * @param timeLeft the time until the caller stops waiting
   * @return whether the request is sent
   */
  public Decision decide(
      double share, OrganisationId organisation, int priority, Duration timeLeft) {
    Claimant claimant = new Claimant(organisation, priority);
    if (share >= 1) {
      credits.remove(claimant);
      return new Decision.Send();
    }
    if (credits.size() >= MAX_CREDITS) {
      credits.clear();
    }
    // The first request has a random part, so that instances do not refuse in step.
    double credit = credits.getOrDefault(claimant, random.nextDouble()) + share;
    if (credit >= 1) {
      credits.put(claimant, credit - 1);
      return new Decision.Send();
    }
    credits.put(claimant, credit);
    long longest = Math.max(1, timeLeft.toNanos() / TIME_LEFT_DIVISOR);
    return new Decision.Refuse(Duration.ofNanos(longest / 2 + random.nextLong(longest / 2 + 1)));
  }
}
