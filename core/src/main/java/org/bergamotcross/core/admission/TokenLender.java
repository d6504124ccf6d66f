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
import org.bergamotcross.kernel.ClockReading;

/**
 * Lends tokens from the buckets of the organisations of which this instance is a holder.
 *
 * <p>A bucket serves its part of the rate only while no other instance can still serve that part.
 * An instance that gains a part therefore waits until a majority is known to have the configuration
 * that assigned it, and then for {@link #SETTLING_TIME}; or it receives a hand-over from its
 * predecessor, which has stopped serving it.
 *
 * <pre>{@code
 * lender.configure(configuration, now).forEach(this::send);
 * lender.onRequest(from, request, now).forEach(this::send);
 * }</pre>
 */
public final class TokenLender {
  /**
   * An instance that has not confirmed its configuration for this long has stopped serving (T = 3
   * s).
   */
  static final Duration FRESHNESS_LIMIT = FreshnessTracker.CONFIRMATION_VALIDITY;

  /** The freshness limit plus the time for which the predecessor's last grants remain usable. */
  static final Duration SETTLING_TIME = FRESHNESS_LIMIT.plus(TokenBucket.LOAN_VALIDITY);

  // Limits the hand-overs that are stored until the configuration they belong to arrives.
  private static final int MAX_EARLY_HANDOVERS = 4096;

  private static final class HeldBucket {
    // Present while this instance serves one of activePartCount equal parts of the rate.
    Optional<TokenBucket> bucket = Optional.empty();
    int activePartCount;
    int partCount;
    // Offset of the configuration since which this instance has held one of partCount parts.
    long gainedAtOffset;
    final ParkedRequests parkedRequests = new ParkedRequests();

    boolean isPending() {
      return bucket.isEmpty() || partCount < activePartCount;
    }
  }

  private final InstanceId self;
  private final long incarnation;
  private final SettledOffset settledOffset;
  private final Map<OrganisationId, HeldBucket> heldBuckets = new HashMap<>();
  private final Map<OrganisationId, TokenHandover> earlyHandovers = new HashMap<>();
  // Removed organisations that a lagging instance may still serve, with the offset of the removal.
  private final Map<OrganisationId, Long> removalOffsets = new HashMap<>();
  private long historyStartOffset = Configuration.EMPTY.offset();
  private HolderAssignment assignment = HolderAssignment.NONE;
  private Optional<ClockReading> freshUntil = Optional.empty();

  /**
   * Creates a lender that holds no buckets.
   *
   * @param self the id of this instance
   * @param incarnation the incarnation of this process; a member entry with another incarnation is
   *     not this process
   * @param quorum the offsets of the other members; the caller configures it before this lender
   */
  public TokenLender(InstanceId self, long incarnation, OffsetQuorum quorum) {
    this.self = self;
    this.incarnation = incarnation;
    this.settledOffset = new SettledOffset(quorum, SETTLING_TIME);
  }

  /**
   * Sets the time until which this instance may act on its configuration.
   *
   * @param until when the configuration stops counting as fresh
   */
  public void setFreshUntil(ClockReading until) {
    freshUntil = Optional.of(until);
  }

  private boolean isFresh(ClockReading now) {
    return freshUntil.map(now::isBefore).orElse(false);
  }

  /**
   * Applies a new configuration: lost parts are handed over, and gained parts wait to settle.
   *
   * @param configuration the configuration
   * @param now the current time
   * @return the hand-overs to send
   */
  public List<OutboundMessage> configure(Configuration configuration, ClockReading now) {
    HolderAssignment before = assignment;
    long offset = configuration.offset();
    // A log record that this instance missed may have assigned its parts to another instance.
    boolean continuous =
        isFresh(now)
            && HolderAssignment.isAtMostOneRecordApart(before.configuration(), configuration);
    assignment = new HolderAssignment(configuration);
    settledOffset.addOffset(offset);
    if (!continuous) {
      heldBuckets.clear();
      historyStartOffset = offset;
    }
    List<OutboundMessage> handovers = continuous ? dropLostBuckets(before, now) : List.of();
    for (Organisation organisation : configuration.organisations()) {
      int parts = ownPartCount(organisation.id());
      if (parts > 0) {
        updateParts(organisation, parts, now);
        if (continuous && isNewOrganisation(organisation.id(), before.configuration())) {
          startServing(organisation, heldBuckets.get(organisation.id()), now);
        }
      }
    }
    recordRemovals(before.configuration());
    applyEarlyHandovers(now);
    return handovers;
  }

  // No instance can be serving an organisation that none has known for the settling time.
  private boolean isNewOrganisation(OrganisationId id, Configuration before) {
    return settledOffset.isSettled(historyStartOffset)
        && before.organisation(id).isEmpty()
        && !removalOffsets.containsKey(id);
  }

  private void recordRemovals(Configuration before) {
    long offset = assignment.configuration().offset();
    for (Organisation organisation : before.organisations()) {
      if (assignment.configuration().organisation(organisation.id()).isEmpty()) {
        removalOffsets.put(organisation.id(), offset);
      }
    }
    removalOffsets.values().removeIf(settledOffset::isSettled);
  }

  private void applyEarlyHandovers(ClockReading now) {
    long offset = assignment.configuration().offset();
    List<TokenHandover> due =
        earlyHandovers.values().stream().filter(handover -> handover.offset() <= offset).toList();
    due.forEach(
        handover -> {
          earlyHandovers.remove(new OrganisationId(handover.organisation()));
          onHandover(handover, now);
        });
  }

  private int ownPartCount(OrganisationId id) {
    List<Member> holders = assignment.holders(id);
    return holders.stream().anyMatch(this::isSelf) ? holders.size() : 0;
  }

  private boolean isSelf(Member member) {
    return member.id().equals(self) && member.incarnation() == incarnation;
  }

  private List<OutboundMessage> dropLostBuckets(HolderAssignment before, ClockReading now) {
    List<OutboundMessage> handovers = new ArrayList<>();
    heldBuckets
        .entrySet()
        .removeIf(
            entry -> {
              boolean lost = ownPartCount(entry.getKey()) == 0;
              if (lost) {
                handoverMessage(entry.getKey(), entry.getValue(), before, now)
                    .ifPresent(handovers::add);
              }
              return lost;
            });
    return handovers;
  }

  // Hands over only a bucket that serves its full part, and only if exactly one member replaces
  // this one, so that the part has exactly one server before and after.
  private Optional<OutboundMessage> handoverMessage(
      OrganisationId id, HeldBucket state, HolderAssignment before, ClockReading now) {
    List<Member> previous = before.holders(id);
    List<Member> next = assignment.holders(id);
    List<Member> gained = next.stream().filter(member -> !previous.contains(member)).toList();
    if (state.isPending() || gained.size() != 1 || next.size() != state.activePartCount) {
      return Optional.empty();
    }
    TokenBucket bucket = state.bucket.orElseThrow();
    bucket.refill(now);
    long offset = assignment.configuration().offset();
    return Optional.of(
        new OutboundMessage(
            gained.getFirst().id(),
            new TokenHandover(
                id.value(), offset, next.size(), bucket.level(), bucket.outstanding())));
  }

  private void updateParts(Organisation organisation, int parts, ClockReading now) {
    HeldBucket state = heldBuckets.get(organisation.id());
    if (state == null) {
      state = new HeldBucket();
      state.gainedAtOffset = assignment.configuration().offset();
      heldBuckets.put(organisation.id(), state);
    } else if (parts < state.partCount) {
      state.gainedAtOffset = assignment.configuration().offset();
    }
    state.partCount = parts;
    if (state.bucket.isPresent()) {
      state.activePartCount = Math.max(parts, state.activePartCount);
      resize(organisation, state, now);
    }
  }

  private static void resize(Organisation organisation, HeldBucket state, ClockReading now) {
    double parts = state.activePartCount;
    state.bucket.ifPresent(
        bucket -> bucket.resize(organisation.rate() / parts, organisation.burst() / parts, now));
  }

  /**
   * Takes over the bucket of the holder that this instance replaces.
   *
   * @param handover the state of the bucket
   * @param now the current time
   */
  public void onHandover(TokenHandover handover, ClockReading now) {
    OrganisationId id = new OrganisationId(handover.organisation());
    if (handover.offset() > assignment.configuration().offset()
        && earlyHandovers.size() < MAX_EARLY_HANDOVERS) {
      earlyHandovers.put(id, handover);
      return;
    }
    HeldBucket state = heldBuckets.get(id);
    if (state == null
        || state.bucket.isPresent()
        || state.gainedAtOffset != handover.offset()
        || state.partCount < handover.parts()) {
      return;
    }
    assignment
        .configuration()
        .organisation(id)
        .ifPresent(
            organisation -> {
              state.activePartCount = state.partCount;
              state.bucket =
                  Optional.of(
                      TokenBucket.fromHandover(
                          organisation.rate() / state.partCount,
                          organisation.burst() / state.partCount,
                          handover.level(),
                          handover.outstanding(),
                          now));
            });
  }

  /**
   * Starts serving the parts that have settled, and answers parked requests.
   *
   * @param now the current time
   * @return grants to send
   */
  public List<OutboundMessage> tick(ClockReading now) {
    settledOffset.tick(now);
    List<OutboundMessage> grants = new ArrayList<>();
    if (!isFresh(now)) {
      return grants;
    }
    heldBuckets.forEach(
        (id, state) -> {
          if (state.isPending() && settledOffset.isSettled(state.gainedAtOffset)) {
            assignment.configuration().organisation(id).ifPresent(o -> startServing(o, state, now));
          }
          state.bucket.ifPresent(bucket -> serveParked(bucket, state.parkedRequests, now, grants));
        });
    return grants;
  }

  private static void serveParked(
      TokenBucket bucket,
      ParkedRequests parkedRequests,
      ClockReading now,
      List<OutboundMessage> grants) {
    if (parkedRequests.isEmpty()) {
      return;
    }
    bucket.refill(now);
    while (bucket.hasWholeToken() && !parkedRequests.isEmpty()) {
      parkedRequests
          .poll()
          .ifPresent(p -> grants.add(grant(p.borrower(), p.request(), bucket, now)));
    }
    parkedRequests
        .removeExpired(now)
        .forEach(p -> grants.add(grant(p.borrower(), p.request(), bucket, now)));
  }

  private static OutboundMessage grant(
      InstanceId from, TokenRequest request, TokenBucket bucket, ClockReading now) {
    double amount = bucket.grant(loanKey(from, request.incarnation(), request.ask()), request, now);
    return response(from, request, amount, bucket.level(), bucket.outstanding(), true);
  }

  private static OutboundMessage response(
      InstanceId from,
      TokenRequest request,
      double amount,
      double level,
      double outstanding,
      boolean serving) {
    return new OutboundMessage(
        from,
        new TokenGrant(
            request.incarnation(),
            request.ask(),
            request.organisation(),
            amount,
            level,
            outstanding,
            serving));
  }

  private static void startServing(Organisation organisation, HeldBucket state, ClockReading now) {
    state.activePartCount = state.partCount;
    if (state.bucket.isEmpty()) {
      state.bucket = Optional.of(new TokenBucket(0, 0, now));
    }
    resize(organisation, state, now);
  }

  /**
   * Processes a token request of a borrower.
   *
   * @param from the borrower
   * @param request its request
   * @param now the current time
   * @return grants to send, including those for parked requests of other borrowers; if this request
   *     is parked, {@link #tick} returns its grant later
   */
  public List<OutboundMessage> onRequest(InstanceId from, TokenRequest request, ClockReading now) {
    Optional<HeldBucket> state = servingBucket(new OrganisationId(request.organisation()), now);
    if (state.isEmpty()) {
      return request.wanted() > 0 ? List.of(response(from, request, 0, 0, 0, false)) : List.of();
    }
    TokenBucket bucket = state.get().bucket.orElseThrow();
    ParkedRequests parkedRequests = state.get().parkedRequests;
    request
        .settlements()
        .forEach(s -> bucket.settle(loanKey(from, request.incarnation(), s.ask()), s, now));
    List<OutboundMessage> grants = new ArrayList<>();
    if (request.wanted() > 0 && request.patienceMillis() > 0) {
      parkedRequests.add(from, request, now);
    }
    serveParked(bucket, parkedRequests, now, grants);
    if (request.wanted() > 0 && request.patienceMillis() <= 0) {
      bucket.refill(now);
      grants.add(
          parkedRequests.isEmpty()
              ? grant(from, request, bucket, now)
              : response(from, request, 0, bucket.level(), bucket.outstanding(), true));
    }
    return grants;
  }

  private static TokenBucket.LoanKey loanKey(
      InstanceId from, long incarnation, long requestNumber) {
    return new TokenBucket.LoanKey(from, incarnation, requestNumber);
  }

  private Optional<HeldBucket> servingBucket(OrganisationId id, ClockReading now) {
    if (!isFresh(now)) {
      return Optional.empty();
    }
    return Optional.ofNullable(heldBuckets.get(id)).filter(state -> state.bucket.isPresent());
  }
}
