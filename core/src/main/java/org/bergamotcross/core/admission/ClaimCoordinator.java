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
import org.bergamotcross.kernel.Now;

/**
 * Claims one idempotency key for one attempt and decides whether it may be sent.
 *
 * <pre>{@code
 * coordinator.asks(members, now).forEach(this::send);
 * coordinator.onAnswer(from, answer);
 * coordinator.decide(isFresh, now).ifPresent(this::act);
 * coordinator.end(outcome, answer).forEach(this::send);
 * }</pre>
 */
public final class ClaimCoordinator {
  /** The longest time that a request waits for holders. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(4);

  private static final Duration RETRY = Duration.ofMillis(50);

  private final String attempt;
  private final OrganisationId organisation;
  private final String key;
  private final Now startedAt;
  private final Now deadline;
  private final Map<InstanceId, ClaimVerdict> verdicts = new TreeMap<>();
  private final Set<InstanceId> asked = new LinkedHashSet<>();
  private Members members = Members.NONE;
  private List<InstanceId> holders = List.of();
  private Optional<Now> lastAsk = Optional.empty();
  private Optional<ClaimDecision> decision = Optional.empty();

  /**
   * Creates a coordinator that has asked nobody.
   *
   * @param attempt the attempt, unique over all instances and restarts
   * @param organisation the organisation
   * @param idempotencyKey what the caller sent
   * @param deadline when the caller stops waiting
   * @param now the present time
   */
  public ClaimCoordinator(
      String attempt, OrganisationId organisation, String idempotencyKey, Now deadline, Now now) {
    this.attempt = attempt;
    this.organisation = organisation;
    this.key = ClaimAsk.key(organisation, idempotencyKey);
    this.deadline = deadline;
    this.startedAt = now;
  }

  /**
   * Returns the asks that are due: all holders at first, then those that have not granted.
   *
   * @param current the members now; grants of another epoch do not count
   * @param now the present time
   * @return messages to send
   */
  public List<PeerMessage> asks(Members current, Now now) {
    if (decision.isPresent()) {
      return List.of();
    }
    if (current.epoch() != members.epoch()) {
      members = current;
      holders = current.holders(organisation.value()).stream().map(Member::id).toList();
      verdicts.clear();
      lastAsk = Optional.empty();
    }
    if (lastAsk.map(at -> now.isBefore(at.plus(RETRY))).orElse(false)) {
      return List.of();
    }
    lastAsk = Optional.of(now);
    ClaimAsk ask = new ClaimAsk(organisation.value(), key, members.epoch(), attempt);
    List<PeerMessage> asks = new ArrayList<>();
    for (InstanceId holder : holders) {
      if (!isFinal(verdicts.get(holder))) {
        asked.add(holder);
        asks.add(new PeerMessage(holder, ask));
      }
    }
    return asks;
  }

  private static boolean isFinal(ClaimVerdict verdict) {
    return verdict instanceof ClaimVerdict.Granted || verdict instanceof ClaimVerdict.Exists;
  }

  /**
   * Takes an answer; those of another attempt or epoch change nothing.
   *
   * @param from the holder
   * @param answer its answer
   */
  public void onAnswer(InstanceId from, ClaimAnswer answer) {
    boolean mine =
        answer.attempt().equals(attempt)
            && answer.key().equals(key)
            && answer.epoch() == members.epoch()
            && holders.contains(from)
            && !isFinal(verdicts.get(from));
    if (mine) {
      answer.decoded().ifPresent(verdict -> verdicts.put(from, verdict));
    }
  }

  /**
   * Decides, once.
   *
   * @param fresh whether the instance may act on its members now
   * @param now the present time
   * @return the decision when it is made by this call
   */
  public Optional<ClaimDecision> decide(boolean fresh, Now now) {
    if (decision.isPresent()) {
      return Optional.empty();
    }
    decision = stored().or(this::ended).or(() -> grantedOrLate(fresh, now));
    return decision;
  }

  private Optional<ClaimDecision> stored() {
    return existing()
        .flatMap(exists -> exists.answer().stream())
        .findFirst()
        .map(ClaimDecision.AnswerStored::new);
  }

  // An attempt that is known to have ended was sent, whatever the other holders say.
  private Optional<ClaimDecision> ended() {
    if (existing().anyMatch(exists -> exists.state() == ClaimState.RUN)) {
      return Optional.of(alreadyClaimed(Outcome.RUN));
    }
    return existing().anyMatch(exists -> exists.state() == ClaimState.UNKNOWN)
        ? Optional.of(alreadyClaimed(Outcome.UNKNOWN))
        : Optional.empty();
  }

  private Stream<ClaimVerdict.Exists> existing() {
    return verdicts.values().stream()
        .filter(ClaimVerdict.Exists.class::isInstance)
        .map(ClaimVerdict.Exists.class::cast);
  }

  private Optional<ClaimDecision> grantedOrLate(boolean fresh, Now now) {
    int majority = holders.size() / 2 + 1;
    long granted =
        verdicts.values().stream().filter(ClaimVerdict.Granted.class::isInstance).count();
    boolean late = !now.isBefore(deadline);
    if (granted >= majority && !late && fresh) {
      return Optional.of(new ClaimDecision.Send());
    }
    long open = holders.stream().filter(holder -> !isFinal(verdicts.get(holder))).count();
    boolean lost = !holders.isEmpty() && granted + open < majority;
    boolean waited = !now.isBefore(startedAt.plus(MAX_WAIT));
    return late || lost || waited ? Optional.of(refused(fresh, late)) : Optional.empty();
  }

  private ClaimDecision refused(boolean fresh, boolean late) {
    if (existing().anyMatch(exists -> exists.state() != ClaimState.RELEASED)) {
      return alreadyClaimed(Outcome.UNKNOWN);
    }
    if (!fresh) {
      return new ClaimDecision.Refuse(new Refusal.StaleConfiguration());
    }
    return new ClaimDecision.Refuse(
        late ? new Refusal.DeadlineBeforeSend() : new Refusal.ClaimUnavailable(reason()));
  }

  private static ClaimDecision alreadyClaimed(Outcome outcome) {
    return new ClaimDecision.Refuse(new Refusal.AlreadyClaimed(outcome));
  }

  private String reason() {
    List<String> parts = new ArrayList<>();
    for (InstanceId holder : holders) {
      ClaimVerdict verdict = verdicts.get(holder);
      parts.add(holder + ":" + (verdict == null ? "silent" : verdict.getClass().getSimpleName()));
    }
    return parts.isEmpty() ? "no holders" : String.join(" ", parts);
  }

  /**
   * Tells the holders how the attempt ended; after a refusal, that it was not run.
   *
   * @param outcome whether a target ran the attempt
   * @param answer the answer, when it is to be kept
   * @return messages to send
   */
  public List<PeerMessage> end(Outcome outcome, Optional<StoredAnswer> answer) {
    ClaimState state =
        switch (outcome) {
          case RUN -> ClaimState.RUN;
          case UNKNOWN -> ClaimState.UNKNOWN;
          case NOT_RUN -> ClaimState.RELEASED;
        };
    ClaimOutcome message =
        new ClaimOutcome(organisation.value(), key, attempt, state.text(), answer);
    return asked.stream().map(holder -> new PeerMessage(holder, message)).toList();
  }

  /**
   * Returns when the caller stops waiting.
   *
   * @return the deadline
   */
  public Now deadline() {
    return deadline;
  }
}
