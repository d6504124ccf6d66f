package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.bergamotcross.kernel.Now;

/** The claims that a holder keeps, with a bound on their number and on the bytes of answers. */
final class ClaimTable {
  /** A claim is kept this long after its last change. */
  static final Duration RETENTION = Duration.ofMinutes(10);

  /** A released claim only has to outlive messages of its attempt, which ends within 60 s. */
  static final Duration RELEASED_RETENTION = Duration.ofMinutes(2);

  private static final int PAGE_CLAIMS = 256;
  private static final int PAGE_ANSWER_BYTES = 256 * 1024;

  private static final class Claim {
    String attempt;
    ClaimState state = ClaimState.GRANTED;
    // Only an attempt that this process granted itself is granted again to a repeated ask.
    boolean own;
    Optional<StoredAnswer> answer = Optional.empty();
    Now changedAt;

    Claim(String attempt, boolean own, Now changedAt) {
      this.attempt = attempt;
      this.own = own;
      this.changedAt = changedAt;
    }

    int answerBytes() {
      return answer.map(stored -> stored.body().length).orElse(0);
    }

    boolean isOver(Now now) {
      Duration kept = state == ClaimState.RELEASED ? RELEASED_RETENTION : RETENTION;
      return !now.isBefore(changedAt.plus(kept));
    }
  }

  private final int maxClaims;
  private final long maxAnswerBytes;
  private final Map<String, NavigableMap<String, Claim>> byOrganisation = new HashMap<>();
  private int size;
  private long answerBytes;

  ClaimTable(int maxClaims, long maxAnswerBytes) {
    this.maxClaims = maxClaims;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** Records an attempt, or tells what is recorded already. */
  ClaimVerdict claim(ClaimAsk ask, Now now) {
    Optional<Claim> found = live(ask.organisation(), ask.key(), now);
    if (found.isEmpty()) {
      return add(ask.organisation(), ask.key(), new Claim(ask.attempt(), true, now))
          ? new ClaimVerdict.Granted()
          : new ClaimVerdict.Full();
    }
    Claim claim = found.get();
    boolean same = claim.attempt.equals(ask.attempt());
    if (claim.state == ClaimState.RELEASED && !same) {
      claim.attempt = ask.attempt();
      claim.state = ClaimState.GRANTED;
      claim.own = true;
      claim.changedAt = now;
      return new ClaimVerdict.Granted();
    }
    if (claim.state == ClaimState.GRANTED && same && claim.own) {
      return new ClaimVerdict.Granted();
    }
    return new ClaimVerdict.Exists(claim.state, claim.answer);
  }

  private Optional<Claim> live(String organisation, String key, Now now) {
    NavigableMap<String, Claim> claims = byOrganisation.get(organisation);
    return Optional.ofNullable(claims == null ? null : claims.get(key))
        .filter(claim -> !claim.isOver(now));
  }

  private boolean add(String organisation, String key, Claim claim) {
    NavigableMap<String, Claim> claims =
        byOrganisation.computeIfAbsent(organisation, id -> new TreeMap<>());
    Claim old = claims.get(key);
    if (old == null && size >= maxClaims) {
      return false;
    }
    if (old == null) {
      size++;
    } else {
      answerBytes -= old.answerBytes();
    }
    claims.put(key, claim);
    return true;
  }

  /** Records how an attempt ended; an attempt that is known to have run replaces a mere grant. */
  void end(ClaimOutcome outcome, ClaimState state, Now now) {
    Optional<Claim> found = live(outcome.organisation(), outcome.key(), now);
    if (found.isEmpty()) {
      Claim claim = new Claim(outcome.attempt(), false, now);
      if (add(outcome.organisation(), outcome.key(), claim)) {
        change(claim, state, outcome.answer(), now);
      }
      return;
    }
    Claim claim = found.get();
    boolean same = claim.attempt.equals(outcome.attempt());
    if (same ? claim.state == ClaimState.GRANTED : supersedes(state, claim)) {
      claim.attempt = outcome.attempt();
      change(claim, state, outcome.answer(), now);
    }
  }

  private static boolean supersedes(ClaimState state, Claim claim) {
    boolean mayHaveRun = state == ClaimState.RUN || state == ClaimState.UNKNOWN;
    return mayHaveRun && (claim.state == ClaimState.GRANTED || claim.state == ClaimState.RELEASED);
  }

  private void change(Claim claim, ClaimState state, Optional<StoredAnswer> answer, Now now) {
    claim.state = state;
    claim.changedAt = now;
    answer
        .filter(stored -> stored.body().length <= StoredAnswer.MAX_BODY_BYTES)
        .filter(stored -> answerBytes + stored.body().length <= maxAnswerBytes)
        .ifPresent(
            stored -> {
              answerBytes += stored.body().length - claim.answerBytes();
              claim.answer = Optional.of(stored);
            });
  }

  /** Merges a claim of another holder; returns false when there is no room for it. */
  boolean merge(String organisation, ClaimSyncAnswer.Entry entry, ClaimState state, Now now) {
    Now changedAt = now.plus(Duration.ofMillis(-Math.max(0, entry.ageMillis())));
    Optional<Claim> found = live(organisation, entry.key(), now);
    if (found.isEmpty()) {
      Claim claim = new Claim(entry.attempt(), false, changedAt);
      boolean added = add(organisation, entry.key(), claim);
      if (added) {
        change(claim, state, entry.answer(), changedAt);
      }
      return added;
    }
    Claim claim = found.get();
    boolean same = claim.attempt.equals(entry.attempt());
    if (rank(state) > rank(claim.state) || (same && state == ClaimState.RELEASED)) {
      if (!same || claim.state == ClaimState.GRANTED) {
        claim.attempt = entry.attempt();
        claim.own &= same;
        change(claim, state, entry.answer(), changedAt);
      }
    } else if (!same && state == ClaimState.GRANTED && claim.state == ClaimState.GRANTED) {
      // Either attempt may have been sent. Neither may be granted here again.
      claim.state = ClaimState.UNKNOWN;
    }
    return true;
  }

  // A released claim gives way to any attempt, a grant to a known end.
  private static int rank(ClaimState state) {
    return switch (state) {
      case RELEASED -> 0;
      case GRANTED -> 1;
      case UNKNOWN -> 2;
      case RUN -> 3;
    };
  }

  /** Returns one page of claims with keys above {@code afterKey}. */
  List<ClaimSyncAnswer.Entry> page(String organisation, String afterKey, Now now) {
    List<ClaimSyncAnswer.Entry> page = new ArrayList<>();
    int bytes = 0;
    for (Map.Entry<String, Claim> entry :
        byOrganisation
            .getOrDefault(organisation, new TreeMap<>())
            .tailMap(afterKey, false)
            .entrySet()) {
      Claim claim = entry.getValue();
      if (page.size() >= PAGE_CLAIMS || bytes >= PAGE_ANSWER_BYTES) {
        break;
      }
      if (!claim.isOver(now)) {
        bytes += claim.answerBytes();
        long age = Math.max(0, now.since(claim.changedAt).toMillis());
        page.add(
            new ClaimSyncAnswer.Entry(
                entry.getKey(), claim.attempt, claim.state.text(), age, claim.answer));
      }
    }
    return page;
  }

  /** Tells whether there are claims with keys above one. */
  boolean hasAfter(String organisation, String key) {
    NavigableMap<String, Claim> claims = byOrganisation.get(organisation);
    return claims != null && claims.higherKey(key) != null;
  }

  /** Drops the claims whose time is over. */
  void expire(Now now) {
    for (NavigableMap<String, Claim> claims : byOrganisation.values()) {
      claims
          .values()
          .removeIf(
              claim -> {
                boolean over = claim.isOver(now);
                if (over) {
                  size--;
                  answerBytes -= claim.answerBytes();
                }
                return over;
              });
    }
    byOrganisation.values().removeIf(Map::isEmpty);
  }

  int size() {
    return size;
  }
}
