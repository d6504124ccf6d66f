package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/**
 * Limits rates with tokens that are borrowed from the holders of each organisation.
 *
 * <p>Combines a {@link TokenLender}, a {@link TokenBorrower} and a {@link TokenWaitQueue}.
 *
 * <pre>{@code
 * RateDecision decision = limiter.tryAdmit(requestId, organisation, deadline, now);
 * RateLimiterOutput output = limiter.step(now); // after each call: messages to send, decided requests
 * }</pre>
 */
public final class BorrowingRateLimiter implements RateLimiter {
  /** The longest time between two calls of {@link #step} while the limiter is not idle. */
  public static final Duration TICK_INTERVAL = Duration.ofMillis(10);

  private final InstanceId self;
  private final TokenLender lender;
  private final TokenBorrower borrower;
  private final TokenWaitQueue waitQueue;
  private final List<OutboundMessage> outbox = new ArrayList<>();
  // Organisations with a request since the last step, for which tokens may be prefetched.
  private final Set<OrganisationId> activeOrganisations = new HashSet<>();
  private Configuration configuration = Configuration.EMPTY;
  private Optional<ClockReading> freshUntil = Optional.empty();
  private Optional<ClockReading> lastTick = Optional.empty();

  /**
   * Creates the limiter of an instance that has just started.
   *
   * @param self the id of this instance
   * @param incarnation the incarnation of this process
   * @param quorum the offsets of the other members; the caller configures it before this limiter
   * @param waitCapacity the maximum number of requests that wait for tokens
   */
  public BorrowingRateLimiter(
      InstanceId self, long incarnation, OffsetQuorum quorum, int waitCapacity) {
    this.self = self;
    this.lender = new TokenLender(self, incarnation, quorum);
    this.borrower = new TokenBorrower(self, incarnation);
    this.waitQueue = new TokenWaitQueue(waitCapacity);
  }

  @Override
  public void configure(Configuration next, ClockReading now) {
    configuration = next;
    outbox.addAll(lender.configure(next, now));
    borrower.configure(next);
  }

  @Override
  public void setFreshUntil(ClockReading until) {
    freshUntil = Optional.of(until);
    lender.setFreshUntil(until);
  }

  private boolean isFresh(ClockReading now) {
    return freshUntil.map(now::isBefore).orElse(false);
  }

  @Override
  public RateDecision tryAdmit(
      String requestId, Organisation organisation, ClockReading deadline, ClockReading now) {
    if (!isFresh(now)) {
      return new RateDecision.Refused(new Refusal.StaleConfiguration());
    }
    if (!now.isBefore(deadline)) {
      return new RateDecision.Refused(new Refusal.DeadlineBeforeSend());
    }
    if (configuration.members().list().isEmpty()) {
      return new RateDecision.Refused(new Refusal.NotReady());
    }
    activeOrganisations.add(organisation.id());
    borrower.recordDemand(organisation.id(), now);
    if (waitQueue.waitingCount(organisation.id()) == 0
        && borrower.takeToken(organisation.id(), now)) {
      return new RateDecision.Admitted(new TokenOrigin.Borrowed());
    }
    Optional<Refusal> refusal =
        waitQueue.offer(
            requestId,
            organisation.id(),
            deadline,
            organisation.rate(),
            seconds -> borrower.maxTokensWithin(organisation.id(), seconds, now),
            now);
    return refusal.<RateDecision>map(RateDecision.Refused::new).orElseGet(RateDecision.Queued::new);
  }

  @Override
  public boolean cancel(String requestId) {
    return waitQueue.remove(requestId);
  }

  @Override
  public void onMessage(InstanceId from, Record message, ClockReading now) {
    switch (message) {
      case TokenRequest request -> outbox.addAll(lender.onRequest(from, request, now));
      case TokenGrant grant -> borrower.onGrant(from, grant, now);
      case TokenHandover handover -> lender.onHandover(handover, now);
      default -> {}
    }
  }

  @Override
  public RateLimiterOutput step(ClockReading now) {
    List<RateLimiterOutput.CompletedWait> ended = new ArrayList<>();
    if (lastTick.map(at -> !now.isBefore(at.plus(TICK_INTERVAL))).orElse(true)) {
      lastTick = Optional.of(now);
      outbox.addAll(lender.tick(now));
      outbox.addAll(borrower.tick(now));
      refuseExpired(now, ended);
    }
    activeOrganisations.addAll(waitQueue.organisations());
    List<OutboundMessage> remote = new ArrayList<>();
    // The second round asks other holders if this instance is itself a holder without tokens.
    for (int round = 0; round < 2; round++) {
      activeOrganisations.forEach(
          id ->
              outbox.addAll(
                  borrower.dueRequests(
                      id, waitQueue.waitingCount(id), waitQueue.maxRemainingWait(id, now), now)));
      remote.addAll(deliverLocal(now));
    }
    activeOrganisations.clear();
    if (isFresh(now)) {
      admitWaiting(now, ended);
    }
    return new RateLimiterOutput(remote, ended, List.of());
  }

  private List<OutboundMessage> deliverLocal(ClockReading now) {
    List<OutboundMessage> remote = new ArrayList<>();
    while (!outbox.isEmpty()) {
      List<OutboundMessage> batch = List.copyOf(outbox);
      outbox.clear();
      for (OutboundMessage message : batch) {
        if (message.to().equals(self)) {
          onMessage(self, message.message(), now);
        } else {
          remote.add(message);
        }
      }
    }
    return remote;
  }

  private void admitWaiting(ClockReading now, List<RateLimiterOutput.CompletedWait> ended) {
    for (OrganisationId id : waitQueue.organisations()) {
      while (waitQueue.waitingCount(id) > 0 && borrower.takeToken(id, now)) {
        waitQueue
            .poll(id)
            .ifPresent(
                request ->
                    ended.add(
                        new RateLimiterOutput.CompletedWait(
                            request, new RateDecision.Admitted(new TokenOrigin.Borrowed()))));
      }
    }
  }

  private Duration retryAfter(OrganisationId id, ClockReading now) {
    double rate = configuration.organisation(id).map(Organisation::rate).orElse(1.0);
    double missing = waitQueue.waitingCount(id) + 1 - borrower.maxTokensWithin(id, 0, now);
    return Duration.ofMillis((long) Math.ceil(Math.max(0, missing) / rate * 1e3));
  }

  @Override
  public boolean isIdle() {
    return waitQueue.organisations().isEmpty() && borrower.isIdle();
  }

  @Override
  public List<OutboundMessage> release(ClockReading now) {
    outbox.addAll(borrower.returnUnused(now));
    return deliverLocal(now);
  }

  /**
   * Returns the number of waiting requests of an organisation.
   *
   * @param organisation the organisation
   * @return the number of requests
   */
  public int waitingCount(OrganisationId organisation) {
    return waitQueue.waitingCount(organisation);
  }

  private void refuseExpired(ClockReading now, List<RateLimiterOutput.CompletedWait> ended) {
    for (TokenWaitQueue.Expired expired : waitQueue.removeExpired(now)) {
      Refusal refusal =
          borrower.isServed(expired.organisation())
              ? new Refusal.RateExceeded(retryAfter(expired.organisation(), now))
              : new Refusal.NotReady();
      ended.add(
          new RateLimiterOutput.CompletedWait(
              expired.requestId(), new RateDecision.Refused(refusal)));
    }
  }
}
