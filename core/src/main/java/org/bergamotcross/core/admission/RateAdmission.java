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
import org.bergamotcross.kernel.Now;

/**
 * Decides on requests by the rates of their organisations; joins holder, borrower and wait list.
 *
 * <pre>{@code
 * RateDecision decision = rates.arrive(requestId, organisation, deadline, now);
 * RateStep step = rates.step(now); // after each call: sends messages, ends waiting requests
 * }</pre>
 */
public final class RateAdmission implements RateControl {
  /** The longest time between two calls of {@link #step}. */
  public static final Duration TICK = Duration.ofMillis(10);

  private final InstanceId self;
  private final RateHolder holder;
  private final RateBorrower borrower;
  private final RateWaitList waitList;
  private final List<PeerMessage> outbox = new ArrayList<>();
  // Organisations with a request since the last step, which may want to prefetch.
  private final Set<OrganisationId> active = new HashSet<>();
  private Configuration configuration = Configuration.EMPTY;
  private Optional<Now> freshUntil = Optional.empty();
  private Optional<Now> lastTick = Optional.empty();

  /**
   * Creates the state of an instance that has just started.
   *
   * @param self the own instance
   * @param incarnation the incarnation of this process
   * @param quorum the other members' offsets; configured by the caller before this object
   * @param waitCapacity the number of requests that wait for tokens at most
   */
  public RateAdmission(InstanceId self, long incarnation, OffsetQuorum quorum, int waitCapacity) {
    this.self = self;
    this.holder = new RateHolder(self, incarnation, quorum);
    this.borrower = new RateBorrower(self, incarnation);
    this.waitList = new RateWaitList(waitCapacity);
  }

  @Override
  public void configure(Configuration next, Now now) {
    configuration = next;
    outbox.addAll(holder.configure(next, now));
    borrower.configure(next);
  }

  @Override
  public void freshUntil(Now until) {
    freshUntil = Optional.of(until);
    holder.freshUntil(until);
  }

  private boolean isFresh(Now now) {
    return freshUntil.map(now::isBefore).orElse(false);
  }

  @Override
  public RateDecision arrive(String requestId, Organisation organisation, Now deadline, Now now) {
    if (!isFresh(now)) {
      return new RateDecision.Refused(new Refusal.StaleConfiguration());
    }
    if (!now.isBefore(deadline)) {
      return new RateDecision.Refused(new Refusal.DeadlineBeforeSend());
    }
    if (configuration.members().list().isEmpty()) {
      return new RateDecision.Refused(new Refusal.NotReady());
    }
    active.add(organisation.id());
    borrower.noteDemand(organisation.id(), now);
    if (waitList.waiting(organisation.id()) == 0 && borrower.take(organisation.id(), now)) {
      return new RateDecision.Admitted(new TokenOrigin.Borrowed());
    }
    Optional<Refusal> refusal =
        waitList.offer(
            requestId,
            organisation.id(),
            deadline,
            organisation.rate(),
            seconds -> borrower.possible(organisation.id(), seconds, now),
            now);
    return refusal
        .<RateDecision>map(RateDecision.Refused::new)
        .orElseGet(RateDecision.Waiting::new);
  }

  @Override
  public boolean cancel(String requestId) {
    return waitList.remove(requestId);
  }

  @Override
  public void onMessage(InstanceId from, Record message, Now now) {
    switch (message) {
      case TokenAsk ask -> outbox.addAll(holder.onAsk(from, ask, now));
      case TokenGrant grant -> borrower.onGrant(from, grant, now);
      case TokenHandover handover -> holder.onHandover(handover, now);
      default -> {}
    }
  }

  @Override
  public RateStep step(Now now) {
    List<RateStep.Ended> ended = new ArrayList<>();
    if (lastTick.map(at -> !now.isBefore(at.plus(TICK))).orElse(true)) {
      lastTick = Optional.of(now);
      outbox.addAll(holder.tick(now));
      outbox.addAll(borrower.tick(now));
      refuseExpired(now, ended);
    }
    active.addAll(waitList.organisations());
    List<PeerMessage> remote = new ArrayList<>();
    // The second round asks the other holders when the own instance is a holder without tokens.
    for (int round = 0; round < 2; round++) {
      active.forEach(
          id ->
              outbox.addAll(
                  borrower.asks(id, waitList.waiting(id), waitList.patience(id, now), now)));
      remote.addAll(deliverLocal(now));
    }
    active.clear();
    if (isFresh(now)) {
      admitWaiting(now, ended);
    }
    return new RateStep(remote, ended, List.of());
  }

  private List<PeerMessage> deliverLocal(Now now) {
    List<PeerMessage> remote = new ArrayList<>();
    while (!outbox.isEmpty()) {
      List<PeerMessage> batch = List.copyOf(outbox);
      outbox.clear();
      for (PeerMessage message : batch) {
        if (message.to().equals(self)) {
          onMessage(self, message.message(), now);
        } else {
          remote.add(message);
        }
      }
    }
    return remote;
  }

  private void admitWaiting(Now now, List<RateStep.Ended> ended) {
    for (OrganisationId id : waitList.organisations()) {
      while (waitList.waiting(id) > 0 && borrower.take(id, now)) {
        waitList
            .poll(id)
            .ifPresent(
                request ->
                    ended.add(
                        new RateStep.Ended(
                            request, new RateDecision.Admitted(new TokenOrigin.Borrowed()))));
      }
    }
  }

  private Duration retryAfter(OrganisationId id, Now now) {
    double rate = configuration.organisation(id).map(Organisation::rate).orElse(1.0);
    double missing = waitList.waiting(id) + 1 - borrower.possible(id, 0, now);
    return Duration.ofMillis((long) Math.ceil(Math.max(0, missing) / rate * 1e3));
  }

  @Override
  public boolean isIdle() {
    return waitList.organisations().isEmpty() && borrower.isIdle();
  }

  @Override
  public List<PeerMessage> giveBack(Now now) {
    outbox.addAll(borrower.giveBack(now));
    return deliverLocal(now);
  }

  /**
   * Returns the number of waiting requests of an organisation.
   *
   * @param organisation the organisation
   * @return the number
   */
  public int waiting(OrganisationId organisation) {
    return waitList.waiting(organisation);
  }

  private void refuseExpired(Now now, List<RateStep.Ended> ended) {
    for (RateWaitList.Expired expired : waitList.expired(now)) {
      Refusal refusal =
          borrower.isServed(expired.organisation())
              ? new Refusal.RateExceeded(retryAfter(expired.organisation(), now))
              : new Refusal.NotReady();
      ended.add(new RateStep.Ended(expired.requestId(), new RateDecision.Refused(refusal)));
    }
  }
}
