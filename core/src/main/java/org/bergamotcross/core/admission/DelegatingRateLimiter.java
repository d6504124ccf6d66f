package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.SuspensionDetector;
import org.bergamotcross.kernel.ClockReading;

/**
 * Limits rates with token buckets that are filled from shares delegated by all instances.
 *
 * <p>Each instance has an equal share of each rate and delegates it, under leases, to the holders
 * of the organisation. A holder's bucket refills at the sum of the fractions delegated to it. An
 * instance requests tokens from the holders for its waiting requests. Even when instances disagree
 * on which peers are alive, the fractions of all buckets add up to at most the whole rate.
 */
public final class DelegatingRateLimiter implements RateLimiter {
  /**
   * Timeout for a holder's response. Failure domains are at most a few ms apart, and a busy holder
   * responds within this time.
   */
  static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(150);

  /** How long granted tokens count at the holder; longer than the requester may use them. */
  static final Duration GRANT_VALIDITY = RESPONSE_TIMEOUT.plusMillis(50);

  /** How long an unresponsive holder is skipped. */
  static final Duration SUSPECT_DURATION = Duration.ofSeconds(2);

  /** The longest wait for a token; a longer one would consume the caller's time only to refuse. */
  static final Duration MAX_WAIT = Duration.ofMillis(400);

  /** Retry delay for callers of an instance that has just started; by then it has a share. */
  private static final Duration RETRY_AFTER_WHILE_STARTING = Duration.ofSeconds(1);

  /** The longest time until a holder without tokens is asked again; its fraction may have grown. */
  private static final long MAX_HOLDER_RETRY_MILLIS = 200;

  /** The smallest change of a held fraction that is reported to the log. */
  private static final double MIN_REPORTED_CHANGE = 0.1;

  private record WaitingRequest(String requestId, ClockReading until) {}

  private record OutstandingRequest(
      long number, InstanceId holder, int needed, ClockReading sentAt) {}

  /** The state of one organisation on this instance. */
  private static final class OrganisationState {
    final Deque<WaitingRequest> waiting = new ArrayDeque<>();
    final Map<InstanceId, ClockReading> emptyUntil = new HashMap<>();
    Optional<OutstandingRequest> outstandingRequest = Optional.empty();
    Optional<DelegatedBucket> bucket = Optional.empty();
    Optional<List<InstanceId>> cachedHolders = Optional.empty();
    double reportedFraction;
  }

  private final InstanceId self;
  private final int waitCapacity;
  private final RateTolerance tolerance;
  private final DelegatedFractions fractions;
  private final SuspensionDetector suspensionDetector = new SuspensionDetector();
  private final Map<OrganisationId, OrganisationState> organisations = new HashMap<>();
  private final Map<InstanceId, ClockReading> suspectUntil = new HashMap<>();
  private final List<OutboundMessage> outbox = new ArrayList<>();
  private final List<RateLimiterOutput.CompletedWait> completedWaits = new ArrayList<>();
  private final List<RateEvent> events = new ArrayList<>();
  private Configuration configuration = Configuration.EMPTY;
  private ClockReading resizedAt = new ClockReading(0, 0);
  private Set<InstanceId> reachablePeers = Set.of();
  private boolean stopping;
  private int waitingRequests;
  private long lastRequestNumber;

  /**
   * Creates the limiter of an instance that has just started.
   *
   * @param self the id of this instance
   * @param waitCapacity the maximum number of requests that wait for tokens
   * @param tolerance how far an organisation may exceed its rate and burst
   */
  public DelegatingRateLimiter(InstanceId self, int waitCapacity, RateTolerance tolerance) {
    this.self = self;
    this.waitCapacity = waitCapacity;
    this.tolerance = tolerance;
    this.fractions = new DelegatedFractions(self);
  }

  /**
   * Sets the reachable peers; holders among the others are asked only as a last resort.
   *
   * @param view the view of the peers
   */
  public void setPeerView(PeerView view) {
    reachablePeers = view.reachable();
  }

  /**
   * Sets the candidates to which this instance delegates its share.
   *
   * @param delegation the delegation
   * @param now the current time
   */
  public void setOwnDelegation(Delegation delegation, ClockReading now) {
    checkClock(now);
    replaceDelegation(
        fractions.ownDelegation(), delegation, () -> fractions.setOwnDelegation(delegation), now);
    organisations.values().forEach(state -> state.cachedHolders = Optional.empty());
  }

  /**
   * Processes a peer's delegation of its share.
   *
   * @param peer the peer
   * @param delegation the delegation
   * @param heartbeatSentAt when this instance sent the heartbeat that the peer answered with the
   *     delegation
   * @param now the current time
   */
  public void onDelegation(
      Member peer, Delegation delegation, ClockReading heartbeatSentAt, ClockReading now) {
    checkClock(now);
    if (stopping) {
      return;
    }
    if (fractions.isRenewal(peer.id(), delegation, now)) {
      fractions.renew(peer, delegation, heartbeatSentAt);
      return;
    }
    replaceDelegation(
        fractions.delegationOf(peer.id(), now),
        delegation,
        () -> fractions.renew(peer, delegation, heartbeatSentAt),
        now);
  }

  /**
   * Replaces a delegation and resizes the buckets of which it changes the fraction.
   *
   * <p>These are resized before the change, too, so that it adds nothing for the time before. After
   * a lease has expired, all buckets are resized first for the same reason.
   */
  private void replaceDelegation(
      Delegation previous, Delegation next, Runnable replacement, ClockReading now) {
    if (fractions.hasExpiredSince(resizedAt, now)) {
      resizeBuckets(now);
    }
    List<OrganisationId> affected =
        organisations.keySet().stream()
            .filter(id -> fractions.fraction(id, previous) != fractions.fraction(id, next))
            .toList();
    resizeBuckets(affected, now);
    replacement.run();
    resizeBuckets(affected, now);
  }

  private void resizeBuckets(List<OrganisationId> ids, ClockReading now) {
    IdentityHashMap<Delegation, Integer> valid = fractions.validDelegations(now);
    ids.forEach(id -> resize(id, organisations.get(id), valid, now));
  }

  /**
   * Ends the lease on a peer's delegation, because the peer's process has restarted.
   *
   * @param peer the peer
   * @param now the current time
   */
  public void onPeerRestart(InstanceId peer, ClockReading now) {
    checkClock(now);
    replaceDelegation(
        fractions.delegationOf(peer, now), Delegation.NONE, () -> fractions.endLease(peer), now);
  }

  @Override
  public void configure(Configuration next, ClockReading now) {
    checkClock(now);
    configuration = next;
    organisations
        .entrySet()
        .removeIf(
            entry -> {
              boolean isGone =
                  next.organisation(entry.getKey()).isEmpty() && entry.getValue().waiting.isEmpty();
              if (isGone) {
                fractions.evict(entry.getKey());
              }
              return isGone;
            });
    resizeBuckets(now);
  }

  @Override
  public void setFreshUntil(ClockReading until) {
    // Not needed: leases, not a confirmed configuration, limit what a bucket holds.
  }

  /**
   * Drops all leases after the monotonic clock has stopped for a while, because they would then
   * outlast their real duration.
   */
  private void checkClock(ClockReading now) {
    Duration pause = suspensionDetector.detectPause(now);
    if (!pause.isZero()) {
      events.add(new RateEvent.LeasesDropped(pause));
      fractions.endAllLeases(now);
      organisations.values().forEach(state -> state.outstandingRequest = Optional.empty());
      resizeBuckets(now);
    }
  }

  @Override
  public RateDecision tryAdmit(
      String requestId, Organisation organisation, ClockReading deadline, ClockReading now) {
    checkClock(now);
    if (!organisation.isLimited()) {
      return new RateDecision.Admitted(new TokenOrigin.Unlimited());
    }
    OrganisationState state =
        organisations.computeIfAbsent(organisation.id(), id -> new OrganisationState());
    if (state.waiting.isEmpty() && take(organisation.id(), state, 1, now) == 1) {
      return new RateDecision.Admitted(new TokenOrigin.Bucket(self));
    }
    if (waitingRequests >= waitCapacity) {
      return new RateDecision.Refused(new Refusal.Overloaded("rate-wait"));
    }
    ClockReading limit = now.plus(MAX_WAIT);
    state.waiting.add(new WaitingRequest(requestId, deadline.isBefore(limit) ? deadline : limit));
    waitingRequests++;
    return new RateDecision.Queued();
  }

  /** Takes tokens from this instance's bucket. */
  private int take(OrganisationId id, OrganisationState state, int needed, ClockReading now) {
    resize(id, state, fractions.validDelegations(now), now);
    return state.bucket.map(bucket -> bucket.take(needed, now)).orElse(0);
  }

  @Override
  public boolean cancel(String requestId) {
    for (OrganisationState state : organisations.values()) {
      if (state.waiting.removeIf(waiting -> waiting.requestId().equals(requestId))) {
        waitingRequests--;
        return true;
      }
    }
    return false;
  }

  @Override
  public void onMessage(InstanceId from, Record message, ClockReading now) {
    checkClock(now);
    switch (message) {
      case BucketRequest request -> onRequest(from, request, now);
      case BucketGrant grant -> onGrant(from, grant, now);
      default -> {}
    }
  }

  private void onRequest(InstanceId from, BucketRequest request, ClockReading now) {
    OrganisationId id = new OrganisationId(request.organisation());
    int amount = 0;
    long retry = MAX_HOLDER_RETRY_MILLIS;
    if (configuration.organisation(id).filter(Organisation::isLimited).isPresent()) {
      OrganisationState state = organisations.computeIfAbsent(id, key -> new OrganisationState());
      resize(id, state, fractions.validDelegations(now), now);
      if (state.bucket.filter(bucket -> bucket.fraction() > 0).isPresent()) {
        DelegatedBucket bucket = state.bucket.get();
        amount = bucket.grant(request.needed(), now.plus(GRANT_VALIDITY), now);
        retry = amount < request.needed() ? bucket.millisToNextToken(now) : 0;
      }
    }
    outbox.add(
        new OutboundMessage(
            from, new BucketGrant(request.number(), request.organisation(), amount, retry)));
  }

  private void onGrant(InstanceId from, BucketGrant grant, ClockReading now) {
    suspectUntil.remove(from);
    OrganisationId id = new OrganisationId(grant.organisation());
    OrganisationState state = organisations.get(id);
    if (state == null
        || state.outstandingRequest.filter(a -> a.number() == grant.number()).isEmpty()) {
      return;
    }
    OutstandingRequest request = state.outstandingRequest.get();
    state.outstandingRequest = Optional.empty();
    if (now.since(request.sentAt()).compareTo(RESPONSE_TIMEOUT) >= 0) {
      return;
    }
    if (grant.amount() < request.needed()) {
      state.emptyUntil.put(from, retryAt(now, grant.retryMillis()));
    }
    admitWaiting(state, grant.amount(), from);
  }

  private static ClockReading retryAt(ClockReading now, long millis) {
    return now.plus(Duration.ofMillis(Math.min(millis, MAX_HOLDER_RETRY_MILLIS)));
  }

  private void admitWaiting(OrganisationState state, int tokens, InstanceId from) {
    for (int i = 0; i < tokens && !state.waiting.isEmpty(); i++) {
      completedWaits.add(
          new RateLimiterOutput.CompletedWait(
              state.waiting.poll().requestId(),
              new RateDecision.Admitted(new TokenOrigin.Bucket(from))));
      waitingRequests--;
    }
  }

  @Override
  public RateLimiterOutput step(ClockReading now) {
    checkClock(now);
    if (waitingRequests > 0) {
      organisations.forEach(
          (id, state) -> {
            if (!state.waiting.isEmpty()) {
              serveWaiting(id, state, now);
            }
          });
    }
    RateLimiterOutput output = new RateLimiterOutput(outbox, completedWaits, events);
    outbox.clear();
    completedWaits.clear();
    events.clear();
    return output;
  }

  private void serveWaiting(OrganisationId id, OrganisationState state, ClockReading now) {
    expireOutstandingRequest(id, state, now);
    List<InstanceId> holders = responsiveHolders(id, state, now);
    for (InstanceId holder : holders) {
      if (state.waiting.isEmpty()) {
        return;
      }
      if (!state.emptyUntil.getOrDefault(holder, now).isAfter(now)) {
        if (holder.equals(self)) {
          serveLocally(id, state, now);
        } else if (state.outstandingRequest.isEmpty()) {
          sendRequest(id, state, holder, now);
        }
      }
    }
    refuseUnservable(id, state, holders, now);
  }

  private void serveLocally(OrganisationId id, OrganisationState state, ClockReading now) {
    int needed = state.waiting.size();
    int taken = take(id, state, needed, now);
    admitWaiting(state, taken, self);
    if (taken < needed) {
      long retry =
          state.bucket.map(bucket -> bucket.millisToNextToken(now)).orElse(MAX_HOLDER_RETRY_MILLIS);
      state.emptyUntil.put(self, retryAt(now, retry));
    }
  }

  private void sendRequest(
      OrganisationId id, OrganisationState state, InstanceId holder, ClockReading now) {
    int needed = state.waiting.size();
    long number = ++lastRequestNumber;
    state.outstandingRequest = Optional.of(new OutstandingRequest(number, holder, needed, now));
    outbox.add(new OutboundMessage(holder, new BucketRequest(number, id.value(), needed)));
  }

  private void expireOutstandingRequest(
      OrganisationId id, OrganisationState state, ClockReading now) {
    state
        .outstandingRequest
        .filter(request -> now.since(request.sentAt()).compareTo(RESPONSE_TIMEOUT) >= 0)
        .ifPresent(
            request -> {
              suspectUntil.put(request.holder(), now.plus(SUSPECT_DURATION));
              events.add(new RateEvent.RequestTimedOut(id, request.holder()));
              state.outstandingRequest = Optional.empty();
            });
  }

  /**
   * Refuses requests whose wait has ended and, while no holder can be asked, all but one, which
   * waits for the next token.
   */
  private void refuseUnservable(
      OrganisationId id, OrganisationState state, List<InstanceId> holders, ClockReading now) {
    Optional<ClockReading> next =
        holders.stream()
            .map(holder -> state.emptyUntil.getOrDefault(holder, now))
            .min(Comparator.naturalOrder());
    boolean isExhausted =
        state.outstandingRequest.isEmpty() && next.filter(at -> at.isAfter(now)).isPresent();
    double rate = configuration.organisation(id).map(Organisation::rate).orElse(1.0);
    int kept = 0;
    for (Iterator<WaitingRequest> each = state.waiting.iterator(); each.hasNext(); ) {
      WaitingRequest waiting = each.next();
      boolean inTime =
          now.isBefore(waiting.until()) && !(isExhausted && next.get().isAfter(waiting.until()));
      if (inTime && !(isExhausted && kept >= 1)) {
        kept++;
        continue;
      }
      each.remove();
      waitingRequests--;
      Duration retryAfter =
          fractions.ownDelegation().shares() == 0
              ? RETRY_AFTER_WHILE_STARTING
              : Duration.ofMillis((long) Math.ceil((completedWaits.size() + 2) / rate * 1e3));
      completedWaits.add(
          new RateLimiterOutput.CompletedWait(
              waiting.requestId(), new RateDecision.Refused(new Refusal.RateExceeded(retryAfter))));
    }
  }

  /**
   * Ends all leases for a planned stop. Peers then delegate to other holders, which they learn from
   * the heartbeats.
   */
  @Override
  public List<OutboundMessage> release(ClockReading now) {
    stopping = true;
    fractions.endAllLeases(now);
    resizeBuckets(now);
    return List.of();
  }

  @Override
  public boolean isIdle() {
    return waitingRequests == 0;
  }

  /** Returns the holders to ask; unresponsive ones only if there is no other. */
  private List<InstanceId> responsiveHolders(
      OrganisationId id, OrganisationState state, ClockReading now) {
    if (state.cachedHolders.isEmpty()) {
      state.cachedHolders = Optional.of(holders(id));
    }
    List<InstanceId> all = state.cachedHolders.get();
    List<InstanceId> answering = all.stream().filter(holder -> isResponsive(holder, now)).toList();
    return answering.isEmpty() ? all : answering;
  }

  /**
   * Returns the holders in the order in which they are asked: this instance, then those in its
   * failure domain, then the others.
   */
  private List<InstanceId> holders(OrganisationId id) {
    Optional<FailureDomain> domain =
        fractions.ownDelegation().candidates().find(self).map(Member::failureDomain);
    Comparator<Member> order =
        Comparator.comparing((Member m) -> !m.id().equals(self))
            .thenComparing(m -> !Optional.of(m.failureDomain()).equals(domain));
    return fractions.ownDelegation().holders(id.value()).stream()
        .sorted(order)
        .map(Member::id)
        .toList();
  }

  private boolean isResponsive(InstanceId holder, ClockReading now) {
    return holder.equals(self)
        || (reachablePeers.contains(holder)
            && !suspectUntil.getOrDefault(holder, now).isAfter(now));
  }

  private void resizeBuckets(ClockReading now) {
    resizedAt = now;
    IdentityHashMap<Delegation, Integer> valid = fractions.validDelegations(now);
    for (Organisation organisation : configuration.organisations()) {
      if (organisation.isLimited()) {
        resize(
            organisation.id(),
            organisations.computeIfAbsent(organisation.id(), id -> new OrganisationState()),
            valid,
            now);
      }
    }
  }

  private void resize(
      OrganisationId id,
      OrganisationState state,
      IdentityHashMap<Delegation, Integer> valid,
      ClockReading now) {
    Optional<Organisation> limit = configuration.organisation(id).filter(Organisation::isLimited);
    if (limit.isEmpty()) {
      state.bucket = Optional.empty();
      return;
    }
    double fraction = fractions.fraction(id, valid);
    if (fraction > 0 || state.bucket.isPresent()) {
      DelegatedBucket bucket =
          state.bucket.orElseGet(() -> new DelegatedBucket(limit.get(), tolerance, now));
      bucket.resize(limit.get(), fraction, now);
      state.bucket = Optional.of(bucket);
      reportChange(id, state, fraction);
    }
  }

  private void reportChange(OrganisationId id, OrganisationState state, double fraction) {
    boolean isEnd = fraction == 0 && state.reportedFraction > 0;
    if (isEnd || Math.abs(fraction - state.reportedFraction) >= MIN_REPORTED_CHANGE) {
      events.add(new RateEvent.HeldFractionChanged(id, state.reportedFraction, fraction));
      state.reportedFraction = fraction;
    }
  }
}
