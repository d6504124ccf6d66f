package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.kernel.Now;

/**
 * Keeps rates by one token bucket per organisation, owned by one instance at a time.
 *
 * <p>The owner is the instance with the highest rendezvous hash among those that are heard. A
 * borrower asks for the tokens of waiting requests and for some more by its recent demand. An owner
 * that hears only a part of the instances it knew a moment ago grants that part of the rate, so
 * that the two sides of a partition together stay near the rate. Without an answer the borrower
 * admits at a small rate of its own and asks the next owner.
 */
public final class OwnedRates implements RateControl {
  /** Two failure domains are at most a few ms apart; a busy owner answers within this time. */
  static final Duration ANSWER_LIMIT = Duration.ofMillis(150);

  /** How long an owner that did not answer is passed over. */
  static final Duration SUSPICION = Duration.ofSeconds(2);

  /**
   * How long a granted token may be used; bounds what is granted in one window and used in another.
   */
  static final Duration CREDIT_LIFE = Duration.ofSeconds(1);

  /** The longest wait for a token; a longer one would use up the caller's time for a refusal. */
  static final Duration MAX_WAIT = Duration.ofMillis(400);

  /** The tokens that one ask may prefetch; more would lie unused at one instance. */
  static final int MAX_PREFETCH = 4;

  /** The rate without an answer, in parts of the even share of one instance. */
  static final double UNANSWERED_SHARE = 1.5;

  private static final double UNANSWERED_BURST = 2;

  private record Waiting(String requestId, Now until) {}

  private record OpenAsk(long number, InstanceId owner, Now sentAt) {}

  /** What this instance knows of one organisation. */
  private static final class Account {
    final Deque<Waiting> waiting = new ArrayDeque<>();
    final DemandEstimate demand = new DemandEstimate();
    Optional<OpenAsk> ask = Optional.empty();
    Optional<OwnedBucket> owned = Optional.empty();
    Optional<OwnedBucket> unanswered = Optional.empty();
    Optional<Now> retryAt = Optional.empty();
    Optional<InstanceId> askedOwner = Optional.empty();
    Now creditUntil = Now.ofMillis(0);
    TokenOrigin creditOrigin = new TokenOrigin.Unlimited();
    int credit;
  }

  private final InstanceId self;
  private final int waitCapacity;
  private final Map<OrganisationId, Account> accounts = new HashMap<>();
  private final Map<InstanceId, Now> suspects = new HashMap<>();
  private final List<PeerMessage> outbox = new ArrayList<>();
  private final List<RateEvent> events = new ArrayList<>();
  private Configuration configuration = Configuration.EMPTY;
  private PeerView peers = PeerView.NONE;
  private int waitingRequests;
  private long asks;

  /**
   * Creates the state of an instance that has just started.
   *
   * @param self the own instance
   * @param waitCapacity the number of requests that wait for tokens at most
   */
  public OwnedRates(InstanceId self, int waitCapacity) {
    this.self = self;
    this.waitCapacity = waitCapacity;
  }

  /**
   * Takes which peers are heard.
   *
   * @param view the peers
   * @param now the present time
   */
  public void peers(PeerView view, Now now) {
    peers = view;
    resizeBuckets(now);
  }

  @Override
  public void configure(Configuration next, Now now) {
    configuration = next;
    accounts.keySet().removeIf(id -> next.organisation(id).isEmpty() && !isWaiting(id));
    resizeBuckets(now);
  }

  private boolean isWaiting(OrganisationId id) {
    return !accounts.get(id).waiting.isEmpty();
  }

  @Override
  public void freshUntil(Now until) {
    // A bucket needs no confirmed configuration; who may use it is decided by the heard peers.
  }

  @Override
  public RateDecision arrive(String requestId, Organisation organisation, Now deadline, Now now) {
    if (!organisation.isLimited()) {
      return new RateDecision.Admitted(new TokenOrigin.Unlimited());
    }
    Account account = accounts.computeIfAbsent(organisation.id(), id -> new Account());
    account.demand.add(now);
    if (account.waiting.isEmpty() && takeCredit(account, now)) {
      return new RateDecision.Admitted(account.creditOrigin);
    }
    if (waitingRequests >= waitCapacity) {
      return new RateDecision.Refused(new Refusal.Overloaded("rate-wait"));
    }
    Now limit = now.plus(MAX_WAIT);
    account.waiting.add(new Waiting(requestId, deadline.isBefore(limit) ? deadline : limit));
    waitingRequests++;
    return new RateDecision.Waiting();
  }

  private static boolean takeCredit(Account account, Now now) {
    if (account.credit < 1 || !now.isBefore(account.creditUntil)) {
      account.credit = 0;
      return false;
    }
    account.credit--;
    return true;
  }

  @Override
  public boolean cancel(String requestId) {
    for (Account account : accounts.values()) {
      if (account.waiting.removeIf(waiting -> waiting.requestId().equals(requestId))) {
        waitingRequests--;
        return true;
      }
    }
    return false;
  }

  @Override
  public void onMessage(InstanceId from, Record message, Now now) {
    switch (message) {
      case BucketAsk ask -> onAsk(from, ask, now);
      case BucketGrant grant -> onGrant(from, grant, now);
      default -> {}
    }
  }

  /** An instance that is asked grants, even when it takes another one for the owner. */
  private void onAsk(InstanceId from, BucketAsk ask, Now now) {
    OrganisationId id = new OrganisationId(ask.organisation());
    Optional<OwnedBucket> bucket = bucket(id, now);
    int amount = bucket.map(b -> b.take(ask.needed(), ask.wanted(), now)).orElse(0);
    long retry = bucket.map(b -> b.millisToToken(now)).orElse(0L);
    outbox.add(
        new PeerMessage(from, new BucketGrant(ask.number(), ask.organisation(), amount, retry)));
  }

  private void onGrant(InstanceId from, BucketGrant grant, Now now) {
    suspects.remove(from);
    Account account = accounts.get(new OrganisationId(grant.organisation()));
    if (account == null || account.ask.filter(a -> a.number() == grant.number()).isEmpty()) {
      return;
    }
    // The life of the tokens is counted from the ask, which the owner can't have answered earlier.
    account.creditUntil = account.ask.get().sentAt().plus(CREDIT_LIFE);
    account.ask = Optional.empty();
    account.credit = grant.amount();
    account.creditOrigin = new TokenOrigin.Bucket(from);
    account.retryAt =
        grant.retryMillis() > 0
            ? Optional.of(now.plus(Duration.ofMillis(grant.retryMillis())))
            : Optional.empty();
  }

  @Override
  public RateStep step(Now now) {
    List<RateStep.Ended> ended = new ArrayList<>();
    if (waitingRequests > 0) {
      accounts.forEach(
          (id, account) -> {
            if (!account.waiting.isEmpty()) {
              serve(id, account, ended, now);
            }
          });
    }
    RateStep step = new RateStep(outbox, ended, events);
    outbox.clear();
    events.clear();
    return step;
  }

  private void serve(OrganisationId id, Account account, List<RateStep.Ended> ended, Now now) {
    InstanceId owner = owner(id, now);
    if (!account.askedOwner.equals(Optional.of(owner))) {
      account.askedOwner = Optional.of(owner);
      events.add(new RateEvent.OwnerChanged(id, owner, peers.heard().size(), peers.known()));
    }
    if (owner.equals(self)) {
      account.ask = Optional.empty();
      bucket(id, now)
          .ifPresent(bucket -> grantLocally(account, bucket, new TokenOrigin.Bucket(self), now));
    } else {
      ask(id, account, owner, now);
    }
    admit(account, ended, now);
    refuse(id, account, ended, now);
  }

  private static void grantLocally(
      Account account, OwnedBucket bucket, TokenOrigin origin, Now now) {
    account.creditOrigin = origin;
    account.credit = bucket.take(account.waiting.size(), account.waiting.size(), now);
    account.creditUntil = now.plus(CREDIT_LIFE);
    long retry = bucket.millisToToken(now);
    account.retryAt =
        retry > 0 ? Optional.of(now.plus(Duration.ofMillis(retry))) : Optional.empty();
  }

  private void ask(OrganisationId id, Account account, InstanceId owner, Now now) {
    Optional<OpenAsk> open = account.ask;
    if (open.isPresent() && now.since(open.get().sentAt()).compareTo(ANSWER_LIMIT) >= 0) {
      suspects.put(open.get().owner(), now.plus(SUSPICION));
      events.add(new RateEvent.AskUnanswered(id, open.get().owner()));
      account.ask = Optional.empty();
      unansweredBucket(id, account, now)
          .ifPresent(bucket -> grantLocally(account, bucket, new TokenOrigin.Unanswered(), now));
      return;
    }
    boolean due = account.retryAt.map(at -> !now.isBefore(at)).orElse(true);
    if (open.isPresent() || account.credit > 0 || !due) {
      return;
    }
    int needed = account.waiting.size();
    int prefetch = (int) Math.min(MAX_PREFETCH, Math.floor(account.demand.perSecond(now) / 2));
    long number = ++asks;
    account.ask = Optional.of(new OpenAsk(number, owner, now));
    outbox.add(
        new PeerMessage(owner, new BucketAsk(number, id.value(), needed, needed + prefetch)));
  }

  private void admit(Account account, List<RateStep.Ended> ended, Now now) {
    while (!account.waiting.isEmpty() && takeCredit(account, now)) {
      ended.add(
          new RateStep.Ended(
              account.waiting.poll().requestId(), new RateDecision.Admitted(account.creditOrigin)));
      waitingRequests--;
    }
  }

  /** After a grant that was too small one request waits on, and the others are refused at once. */
  private void refuse(OrganisationId id, Account account, List<RateStep.Ended> ended, Now now) {
    boolean isShort = account.ask.isEmpty() && account.retryAt.filter(now::isBefore).isPresent();
    double rate = configuration.organisation(id).map(Organisation::rate).orElse(1.0);
    int kept = 0;
    for (Iterator<Waiting> each = account.waiting.iterator(); each.hasNext(); ) {
      Waiting waiting = each.next();
      boolean inTime =
          now.isBefore(waiting.until())
              && !(isShort && account.retryAt.get().isAfter(waiting.until()));
      if (inTime && !(isShort && kept >= 1)) {
        kept++;
        continue;
      }
      each.remove();
      waitingRequests--;
      Duration back = Duration.ofMillis((long) Math.ceil((ended.size() + 2) / rate * 1e3));
      ended.add(
          new RateStep.Ended(
              waiting.requestId(), new RateDecision.Refused(new Refusal.RateExceeded(back))));
    }
  }

  @Override
  public List<PeerMessage> giveBack(Now now) {
    return List.of();
  }

  @Override
  public boolean isIdle() {
    return waitingRequests == 0;
  }

  /** Returns the instance whose bucket is asked now. */
  InstanceId owner(OrganisationId id, Now now) {
    InstanceId best = self;
    long bestWeight = weight(id, self);
    for (InstanceId peer : peers.heard()) {
      Now until = suspects.get(peer);
      if (until != null && now.isBefore(until)) {
        continue;
      }
      long weight = weight(id, peer);
      if (weight > bestWeight) {
        best = peer;
        bestWeight = weight;
      }
    }
    return best;
  }

  private static long weight(OrganisationId id, InstanceId instance) {
    return Members.weight(id.value(), instance);
  }

  private Optional<OwnedBucket> bucket(OrganisationId id, Now now) {
    return configuration
        .organisation(id)
        .filter(Organisation::isLimited)
        .map(
            organisation -> {
              Account account = accounts.computeIfAbsent(id, key -> new Account());
              OwnedBucket bucket =
                  account.owned.orElseGet(
                      () ->
                          new OwnedBucket(
                              organisation.rate() * peers.heardShare(),
                              organisation.burst() * peers.heardShare(),
                              now));
              account.owned = Optional.of(bucket);
              return bucket;
            });
  }

  private Optional<OwnedBucket> unansweredBucket(OrganisationId id, Account account, Now now) {
    if (account.unanswered.isEmpty()) {
      double share = UNANSWERED_SHARE / (peers.known() + 1.0);
      account.unanswered =
          configuration
              .organisation(id)
              .map(o -> new OwnedBucket(o.rate() * share, UNANSWERED_BURST, now));
    }
    return account.unanswered;
  }

  /** A bucket of which this instance is not the owner any more is dropped with its burst. */
  private void resizeBuckets(Now now) {
    accounts.forEach(
        (id, account) -> {
          if (account.owned.isPresent() && !owner(id, now).equals(self)) {
            account.owned = Optional.empty();
          }
          configuration
              .organisation(id)
              .filter(Organisation::isLimited)
              .ifPresent(
                  o ->
                      account.owned.ifPresent(
                          bucket ->
                              bucket.resize(
                                  o.rate() * peers.heardShare(),
                                  Math.max(1, o.burst() * peers.heardShare()),
                                  now)));
          account.unanswered = Optional.empty();
        });
    // The owner of an organisation fills its bucket from now on, not only from the first ask.
    for (Organisation organisation : configuration.organisations()) {
      if (organisation.isLimited() && owner(organisation.id(), now).equals(self)) {
        bucket(organisation.id(), now);
      }
    }
  }
}
