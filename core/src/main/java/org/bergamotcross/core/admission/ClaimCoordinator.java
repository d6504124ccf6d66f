package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.kernel.ClockReading;

/**
 * Claims an idempotency key for one attempt from a quorum of holders and decides whether the
 * attempt may be sent.
 *
 * <pre>{@code
 * coordinator.dueRequests(members, now).forEach(this::send);
 * coordinator.onResponse(from, response);
 * coordinator.decide(isFresh, now).ifPresent(this::act);
 * coordinator.outcomeMessages(outcome, response).forEach(this::send);
 * }</pre>
 */
public final class ClaimCoordinator {
  /** The longest time that a request waits for the holders' votes. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(4);

  private static final Duration RETRY_INTERVAL = Duration.ofMillis(50);

  private final String attempt;
  private final OrganisationId organisation;
  private final String key;
  private final ClockReading startedAt;
  private final ClockReading deadline;
  private final Map<InstanceId, ClaimVerdict> verdicts = new TreeMap<>();
  private final Set<InstanceId> contactedHolders = new LinkedHashSet<>();
  private Members members = Members.NONE;
  private List<InstanceId> holders = List.of();
  private Optional<ClockReading> lastRequestAt = Optional.empty();
  private Optional<ClaimDecision> decision = Optional.empty();

  /**
   * Creates a coordinator that has not contacted any holder.
   *
   * @param attempt the id of the attempt, unique across instances and restarts
   * @param organisation the organisation
   * @param idempotencyKey the idempotency key as the caller sent it
   * @param deadline when the caller stops waiting for a response
   * @param now the current time
   */
  public ClaimCoordinator(
      String attempt,
      OrganisationId organisation,
      String idempotencyKey,
      ClockReading deadline,
      ClockReading now) {
    this.attempt = attempt;
    this.organisation = organisation;
    this.key = ClaimRequest.key(organisation, idempotencyKey);
    this.deadline = deadline;
    this.startedAt = now;
  }

  /**
   * Returns the claim requests that are due: first to all holders, then to those without a final
   * verdict.
   *
   * @param current the current members; a new epoch discards all votes of the previous one
   * @param now the current time
   * @return messages to send
   */
  public List<OutboundMessage> dueRequests(Members current, ClockReading now) {
    if (decision.isPresent()) {
      return List.of();
    }
    if (current.epoch() != members.epoch()) {
      members = current;
      holders = current.holders(organisation.value()).stream().map(Member::id).toList();
      verdicts.clear();
      lastRequestAt = Optional.empty();
    }
    if (lastRequestAt.map(at -> now.isBefore(at.plus(RETRY_INTERVAL))).orElse(false)) {
      return List.of();
    }
    lastRequestAt = Optional.of(now);
    ClaimRequest request = new ClaimRequest(organisation.value(), key, members.epoch(), attempt);
    List<OutboundMessage> requests = new ArrayList<>();
    for (InstanceId holder : holders) {
      if (!isFinal(verdicts.get(holder))) {
        contactedHolders.add(holder);
        requests.add(new OutboundMessage(holder, request));
      }
    }
    return requests;
  }

  private static boolean isFinal(ClaimVerdict verdict) {
    return verdict instanceof ClaimVerdict.Granted || verdict instanceof ClaimVerdict.Exists;
  }

  /**
   * Records a vote; responses for another attempt or epoch are ignored.
   *
   * @param from the holder
   * @param response its vote
   */
  public void onResponse(InstanceId from, ClaimResponse response) {
    boolean isCurrent =
        response.attempt().equals(attempt)
            && response.key().equals(key)
            && response.epoch() == members.epoch()
            && holders.contains(from)
            && !isFinal(verdicts.get(from));
    if (isCurrent) {
      response.toVerdict().ifPresent(verdict -> verdicts.put(from, verdict));
    }
  }

  /**
   * Decides on the request; the decision is made only once.
   *
   * @param fresh whether this instance's view of the members is fresh enough to act on
   * @param now the current time
   * @return the decision if this call made it; empty while undecided and after the decision
   */
  public Optional<ClaimDecision> decide(boolean fresh, ClockReading now) {
    if (decision.isPresent()) {
      return Optional.empty();
    }
    decision = replayStored().or(this::refuseEndedAttempt).or(() -> sendOrRefuse(fresh, now));
    return decision;
  }

  private Optional<ClaimDecision> replayStored() {
    return existingClaims()
        .flatMap(exists -> exists.answer().stream())
        .findFirst()
        .map(ClaimDecision.ReplayStored::new);
  }

  // An attempt with a recorded end was sent, whatever the other holders report.
  private Optional<ClaimDecision> refuseEndedAttempt() {
    if (existingClaims().anyMatch(exists -> exists.state() == ClaimState.RUN)) {
      return Optional.of(alreadyClaimed(ExecutionOutcome.RUN));
    }
    return existingClaims().anyMatch(exists -> exists.state() == ClaimState.UNKNOWN)
        ? Optional.of(alreadyClaimed(ExecutionOutcome.UNKNOWN))
        : Optional.empty();
  }

  private Stream<ClaimVerdict.Exists> existingClaims() {
    return verdicts.values().stream()
        .filter(ClaimVerdict.Exists.class::isInstance)
        .map(ClaimVerdict.Exists.class::cast);
  }

  private Optional<ClaimDecision> sendOrRefuse(boolean fresh, ClockReading now) {
    int majority = holders.size() / 2 + 1;
    long granted =
        verdicts.values().stream().filter(ClaimVerdict.Granted.class::isInstance).count();
    boolean pastDeadline = !now.isBefore(deadline);
    if (granted >= majority && !pastDeadline && fresh) {
      return Optional.of(new ClaimDecision.Send());
    }
    long undecided = holders.stream().filter(holder -> !isFinal(verdicts.get(holder))).count();
    boolean majorityImpossible = !holders.isEmpty() && granted + undecided < majority;
    boolean waitedTooLong = !now.isBefore(startedAt.plus(MAX_WAIT));
    return pastDeadline || majorityImpossible || waitedTooLong
        ? Optional.of(refusal(fresh, pastDeadline))
        : Optional.empty();
  }

  private ClaimDecision refusal(boolean fresh, boolean pastDeadline) {
    if (existingClaims().anyMatch(exists -> exists.state() != ClaimState.RELEASED)) {
      return alreadyClaimed(ExecutionOutcome.UNKNOWN);
    }
    if (!fresh) {
      return new ClaimDecision.Refuse(new Refusal.StaleConfiguration());
    }
    return new ClaimDecision.Refuse(
        pastDeadline
            ? new Refusal.DeadlineBeforeSend()
            : new Refusal.ClaimUnavailable(describeVerdicts()));
  }

  private static ClaimDecision alreadyClaimed(ExecutionOutcome outcome) {
    return new ClaimDecision.Refuse(new Refusal.AlreadyClaimed(outcome));
  }

  private String describeVerdicts() {
    List<String> parts = new ArrayList<>();
    for (InstanceId holder : holders) {
      ClaimVerdict verdict = verdicts.get(holder);
      parts.add(holder + ":" + (verdict == null ? "silent" : verdict.getClass().getSimpleName()));
    }
    return parts.isEmpty() ? "no holders" : String.join(" ", parts);
  }

  /**
   * Returns the messages that tell every contacted holder how the attempt ended.
   *
   * <p>After a refusal, the outcome is {@link ExecutionOutcome#NOT_RUN}, which releases the claim.
   *
   * @param outcome whether a target ran the attempt
   * @param response the response, if it is to be stored for repeats
   * @return messages to send
   */
  public List<OutboundMessage> outcomeMessages(
      ExecutionOutcome outcome, Optional<StoredResponse> response) {
    ClaimState state =
        switch (outcome) {
          case RUN -> ClaimState.RUN;
          case UNKNOWN -> ClaimState.UNKNOWN;
          case NOT_RUN -> ClaimState.RELEASED;
        };
    ClaimOutcome message =
        new ClaimOutcome(organisation.value(), key, attempt, state.wireName(), response);
    return contactedHolders.stream().map(holder -> new OutboundMessage(holder, message)).toList();
  }

  /**
   * Returns the time at which the caller stops waiting.
   *
   * @return the deadline
   */
  public ClockReading deadline() {
    return deadline;
  }
}
