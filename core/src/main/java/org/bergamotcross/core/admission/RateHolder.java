package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.FreshnessTracker;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.kernel.Now;

/**
 * Holds the buckets of the organisations of which this instance is a holder.
 *
 * <p>A bucket serves a part of the rate only while no other instance can still serve that part. An
 * instance that gains a part therefore waits until a majority is known to have the configuration
 * that gave it, and then {@link #SETTLE}; or it takes the bucket over from its predecessor, which
 * has stopped serving it.
 *
 * <pre>{@code
 * holder.configure(configuration, now).forEach(this::send);
 * holder.onAsk(from, ask, now).forEach(this::send);
 * }</pre>
 */
public final class RateHolder {
  /** After this time an instance that has not learned a configuration has stopped: T = 3 s. */
  static final Duration FRESHNESS = FreshnessTracker.VALIDITY;

  /** The freshness limit, and the time for which the predecessor's last grants can be used. */
  static final Duration SETTLE = FRESHNESS.plus(TokenBucket.LOAN);

  // Bounds the memory for handovers that arrive before the configuration they belong to.
  private static final int MAX_EARLY = 4096;

  private static final class Held {
    // Present while the bucket serves one of activeParts equal parts.
    Optional<TokenBucket> bucket = Optional.empty();
    int activeParts;
    int parts;
    // The configuration since which this instance has had at least one of `parts` parts.
    long since;
    final ParkedAsks parked = new ParkedAsks();

    boolean isPending() {
      return bucket.isEmpty() || parts < activeParts;
    }
  }

  private final InstanceId self;
  private final long incarnation;
  private final SettledOffset settled;
  private final Map<OrganisationId, Held> held = new HashMap<>();
  private final Map<OrganisationId, TokenHandover> early = new HashMap<>();
  // Organisations that a lagging instance may still know, with the offset of their removal.
  private final Map<OrganisationId, Long> removed = new HashMap<>();
  private long historySince = Configuration.EMPTY.offset();
  private RateShares shares = RateShares.NONE;
  private Optional<Now> freshUntil = Optional.empty();

  /**
   * Creates a holder that holds nothing.
   *
   * @param self the own instance
   * @param incarnation the incarnation of this process; a member with another one is not this
   *     process
   * @param quorum what is known of the other members' offsets; configured by the caller
   */
  public RateHolder(InstanceId self, long incarnation, OffsetQuorum quorum) {
    this.self = self;
    this.incarnation = incarnation;
    this.settled = new SettledOffset(quorum, SETTLE);
  }

  /**
   * Takes the time until which this instance may act on its configuration.
   *
   * @param until the end of the freshness
   */
  public void freshUntil(Now until) {
    freshUntil = Optional.of(until);
  }

  private boolean isFresh(Now now) {
    return freshUntil.map(now::isBefore).orElse(false);
  }

  /**
   * Takes a new configuration; parts that were lost are handed over, parts gained wait.
   *
   * @param configuration the configuration
   * @param now the present time
   * @return the handovers to send
   */
  public List<PeerMessage> configure(Configuration configuration, Now now) {
    RateShares before = shares;
    long offset = configuration.offset();
    // A record that this instance did not see could have given its parts to another one.
    boolean continuous = isFresh(now) && RateShares.follows(before.configuration(), configuration);
    shares = new RateShares(configuration);
    settled.add(offset);
    if (!continuous) {
      held.clear();
      historySince = offset;
    }
    List<PeerMessage> handovers = continuous ? drop(before, now) : List.of();
    for (Organisation organisation : configuration.organisations()) {
      int parts = ownParts(organisation.id());
      if (parts > 0) {
        update(organisation, parts, now);
        if (continuous && isNew(organisation.id(), before.configuration())) {
          start(organisation, held.get(organisation.id()), now);
        }
      }
    }
    noteRemoved(before.configuration());
    takeEarly(now);
    return handovers;
  }

  // Nobody can serve an organisation that no instance has known for the settling time.
  private boolean isNew(OrganisationId id, Configuration before) {
    return settled.has(historySince)
        && before.organisation(id).isEmpty()
        && !removed.containsKey(id);
  }

  private void noteRemoved(Configuration before) {
    long offset = shares.configuration().offset();
    for (Organisation organisation : before.organisations()) {
      if (shares.configuration().organisation(organisation.id()).isEmpty()) {
        removed.put(organisation.id(), offset);
      }
    }
    removed.values().removeIf(settled::has);
  }

  private void takeEarly(Now now) {
    long offset = shares.configuration().offset();
    List<TokenHandover> due =
        early.values().stream().filter(handover -> handover.offset() <= offset).toList();
    due.forEach(
        handover -> {
          early.remove(new OrganisationId(handover.organisation()));
          onHandover(handover, now);
        });
  }

  private int ownParts(OrganisationId id) {
    List<Member> holders = shares.holders(id);
    return holders.stream().anyMatch(this::isSelf) ? holders.size() : 0;
  }

  private boolean isSelf(Member member) {
    return member.id().equals(self) && member.incarnation() == incarnation;
  }

  private List<PeerMessage> drop(RateShares before, Now now) {
    List<PeerMessage> handovers = new ArrayList<>();
    held.entrySet()
        .removeIf(
            entry -> {
              boolean lost = ownParts(entry.getKey()) == 0;
              if (lost) {
                handover(entry.getKey(), entry.getValue(), before, now).ifPresent(handovers::add);
              }
              return lost;
            });
    return handovers;
  }

  // Only a bucket that serves its whole part is handed over, and only when one member replaces
  // this one: then the part has exactly one server before and one after.
  private Optional<PeerMessage> handover(
      OrganisationId id, Held state, RateShares before, Now now) {
    List<Member> old = before.holders(id);
    List<Member> next = shares.holders(id);
    List<Member> gained = next.stream().filter(member -> !old.contains(member)).toList();
    if (state.isPending() || gained.size() != 1 || next.size() != state.activeParts) {
      return Optional.empty();
    }
    TokenBucket bucket = state.bucket.orElseThrow();
    bucket.refill(now);
    long offset = shares.configuration().offset();
    return Optional.of(
        new PeerMessage(
            gained.getFirst().id(),
            new TokenHandover(
                id.value(), offset, next.size(), bucket.level(), bucket.outstanding())));
  }

  private void update(Organisation organisation, int parts, Now now) {
    Held state = held.get(organisation.id());
    if (state == null) {
      state = new Held();
      state.since = shares.configuration().offset();
      held.put(organisation.id(), state);
    } else if (parts < state.parts) {
      state.since = shares.configuration().offset();
    }
    state.parts = parts;
    if (state.bucket.isPresent()) {
      state.activeParts = Math.max(parts, state.activeParts);
      resize(organisation, state, now);
    }
  }

  private static void resize(Organisation organisation, Held state, Now now) {
    double parts = state.activeParts;
    state.bucket.ifPresent(
        bucket -> bucket.resize(organisation.rate() / parts, organisation.burst() / parts, now));
  }

  /**
   * Takes over the bucket of the holder that this instance replaces.
   *
   * @param handover the state of the bucket
   * @param now the present time
   */
  public void onHandover(TokenHandover handover, Now now) {
    OrganisationId id = new OrganisationId(handover.organisation());
    if (handover.offset() > shares.configuration().offset() && early.size() < MAX_EARLY) {
      early.put(id, handover);
      return;
    }
    Held state = held.get(id);
    if (state == null
        || state.bucket.isPresent()
        || state.since != handover.offset()
        || state.parts < handover.parts()) {
      return;
    }
    shares
        .configuration()
        .organisation(id)
        .ifPresent(
            organisation -> {
              state.activeParts = state.parts;
              state.bucket =
                  Optional.of(
                      TokenBucket.takenOver(
                          organisation.rate() / state.parts,
                          organisation.burst() / state.parts,
                          handover.level(),
                          handover.outstanding(),
                          now));
            });
  }

  /**
   * Starts the parts whose waiting time is over, and answers asks that have waited.
   *
   * @param now the present time
   * @return grants to send
   */
  public List<PeerMessage> tick(Now now) {
    settled.tick(now);
    List<PeerMessage> grants = new ArrayList<>();
    if (!isFresh(now)) {
      return grants;
    }
    held.forEach(
        (id, state) -> {
          if (state.isPending() && settled.has(state.since)) {
            shares.configuration().organisation(id).ifPresent(o -> start(o, state, now));
          }
          state.bucket.ifPresent(bucket -> serve(bucket, state.parked, now, grants));
        });
    return grants;
  }

  private static void serve(
      TokenBucket bucket, ParkedAsks parked, Now now, List<PeerMessage> grants) {
    if (parked.isEmpty()) {
      return;
    }
    bucket.refill(now);
    while (bucket.hasWholeToken() && !parked.isEmpty()) {
      parked.poll().ifPresent(p -> grants.add(grant(p.from(), p.ask(), bucket, now)));
    }
    parked.expired(now).forEach(p -> grants.add(grant(p.from(), p.ask(), bucket, now)));
  }

  private static PeerMessage grant(InstanceId from, TokenAsk ask, TokenBucket bucket, Now now) {
    double amount = bucket.grant(key(from, ask.incarnation(), ask.ask()), ask, now);
    return answer(from, ask, amount, bucket.level(), bucket.outstanding(), true);
  }

  private static PeerMessage answer(
      InstanceId from,
      TokenAsk ask,
      double amount,
      double level,
      double outstanding,
      boolean serving) {
    return new PeerMessage(
        from,
        new TokenGrant(
            ask.incarnation(), ask.ask(), ask.organisation(), amount, level, outstanding, serving));
  }

  private static void start(Organisation organisation, Held state, Now now) {
    state.activeParts = state.parts;
    if (state.bucket.isEmpty()) {
      state.bucket = Optional.of(new TokenBucket(0, 0, now));
    }
    resize(organisation, state, now);
  }

  /**
   * Takes an ask of a borrower.
   *
   * @param from the borrower
   * @param ask its ask
   * @param now the present time
   * @return grants to send, also to other borrowers whose asks have waited; the answer to this ask
   *     follows from {@link #tick} when it has to wait
   */
  public List<PeerMessage> onAsk(InstanceId from, TokenAsk ask, Now now) {
    Optional<Held> state = serving(new OrganisationId(ask.organisation()), now);
    if (state.isEmpty()) {
      return ask.wanted() > 0 ? List.of(answer(from, ask, 0, 0, 0, false)) : List.of();
    }
    TokenBucket bucket = state.get().bucket.orElseThrow();
    ParkedAsks parked = state.get().parked;
    ask.settlements().forEach(s -> bucket.settle(key(from, ask.incarnation(), s.ask()), s, now));
    List<PeerMessage> grants = new ArrayList<>();
    if (ask.wanted() > 0 && ask.patienceMillis() > 0) {
      parked.add(from, ask, now);
    }
    serve(bucket, parked, now, grants);
    if (ask.wanted() > 0 && ask.patienceMillis() <= 0) {
      bucket.refill(now);
      grants.add(
          parked.isEmpty()
              ? grant(from, ask, bucket, now)
              : answer(from, ask, 0, bucket.level(), bucket.outstanding(), true));
    }
    return grants;
  }

  private static TokenBucket.LoanKey key(InstanceId from, long incarnation, long ask) {
    return new TokenBucket.LoanKey(from, incarnation, ask);
  }

  private Optional<Held> serving(OrganisationId id, Now now) {
    if (!isFresh(now)) {
      return Optional.empty();
    }
    return Optional.ofNullable(held.get(id)).filter(state -> state.bucket.isPresent());
  }
}
