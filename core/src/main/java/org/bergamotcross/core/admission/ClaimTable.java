package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.bergamotcross.kernel.ClockReading;

/** Stores the claims of a holder, limiting their number and the total size of stored responses. */
final class ClaimTable {
  /** How long a claim is retained after its last change. */
  static final Duration RETENTION = Duration.ofMinutes(10);

  /**
   * Retention of a released claim, which only has to outlive the messages of its attempt; an
   * attempt ends within 60 s.
   */
  static final Duration RELEASED_RETENTION = Duration.ofMinutes(2);

  private static final int MAX_PAGE_CLAIMS = 256;
  private static final int MAX_PAGE_BODY_BYTES = 256 * 1024;

  private static final class Claim {
    String attempt;
    ClaimState state = ClaimState.GRANTED;
    // Only an attempt that this process granted itself is granted again when its request is
    // repeated.
    boolean grantedHere;
    Optional<StoredResponse> response = Optional.empty();
    ClockReading changedAt;

    Claim(String attempt, boolean own, ClockReading changedAt) {
      this.attempt = attempt;
      this.grantedHere = own;
      this.changedAt = changedAt;
    }

    int bodyBytes() {
      return response.map(stored -> stored.body().length).orElse(0);
    }

    boolean isExpired(ClockReading now) {
      Duration kept = state == ClaimState.RELEASED ? RELEASED_RETENTION : RETENTION;
      return !now.isBefore(changedAt.plus(kept));
    }
  }

  private final int maxClaims;
  private final long maxBodyBytes;
  private final Map<String, NavigableMap<String, Claim>> byOrganisation = new HashMap<>();
  private int claimCount;
  private long bodyBytes;

  ClaimTable(int maxClaims, long maxAnswerBytes) {
    this.maxClaims = maxClaims;
    this.maxBodyBytes = maxAnswerBytes;
  }

  /** Grants the key to the attempt, or returns the existing claim. */
  ClaimVerdict claim(ClaimRequest request, ClockReading now) {
    Optional<Claim> found = findLive(request.organisation(), request.key(), now);
    if (found.isEmpty()) {
      return add(request.organisation(), request.key(), new Claim(request.attempt(), true, now))
          ? new ClaimVerdict.Granted()
          : new ClaimVerdict.Full();
    }
    Claim claim = found.get();
    boolean sameAttempt = claim.attempt.equals(request.attempt());
    if (claim.state == ClaimState.RELEASED && !sameAttempt) {
      claim.attempt = request.attempt();
      claim.state = ClaimState.GRANTED;
      claim.grantedHere = true;
      claim.changedAt = now;
      return new ClaimVerdict.Granted();
    }
    if (claim.state == ClaimState.GRANTED && sameAttempt && claim.grantedHere) {
      return new ClaimVerdict.Granted();
    }
    return new ClaimVerdict.Exists(claim.state, claim.response);
  }

  private Optional<Claim> findLive(String organisation, String key, ClockReading now) {
    NavigableMap<String, Claim> claims = byOrganisation.get(organisation);
    return Optional.ofNullable(claims == null ? null : claims.get(key))
        .filter(claim -> !claim.isExpired(now));
  }

  private boolean add(String organisation, String key, Claim claim) {
    NavigableMap<String, Claim> claims =
        byOrganisation.computeIfAbsent(organisation, id -> new TreeMap<>());
    Claim old = claims.get(key);
    if (old == null && claimCount >= maxClaims) {
      return false;
    }
    if (old == null) {
      claimCount++;
    } else {
      bodyBytes -= old.bodyBytes();
    }
    claims.put(key, claim);
    return true;
  }

  /**
   * Records how an attempt ended; an attempt that ran or may have run replaces a granted or
   * released claim of another attempt.
   */
  void recordOutcome(ClaimOutcome outcome, ClaimState state, ClockReading now) {
    Optional<Claim> found = findLive(outcome.organisation(), outcome.key(), now);
    if (found.isEmpty()) {
      Claim claim = new Claim(outcome.attempt(), false, now);
      if (add(outcome.organisation(), outcome.key(), claim)) {
        updateClaim(claim, state, outcome.answer(), now);
      }
      return;
    }
    Claim claim = found.get();
    boolean sameAttempt = claim.attempt.equals(outcome.attempt());
    if (sameAttempt ? claim.state == ClaimState.GRANTED : supersedes(state, claim)) {
      claim.attempt = outcome.attempt();
      updateClaim(claim, state, outcome.answer(), now);
    }
  }

  private static boolean supersedes(ClaimState state, Claim claim) {
    boolean mayHaveRun = state == ClaimState.RUN || state == ClaimState.UNKNOWN;
    return mayHaveRun && (claim.state == ClaimState.GRANTED || claim.state == ClaimState.RELEASED);
  }

  private void updateClaim(
      Claim claim, ClaimState state, Optional<StoredResponse> response, ClockReading now) {
    claim.state = state;
    claim.changedAt = now;
    response
        .filter(stored -> stored.body().length <= StoredResponse.MAX_BODY_BYTES)
        .filter(stored -> bodyBytes + stored.body().length <= maxBodyBytes)
        .ifPresent(
            stored -> {
              bodyBytes += stored.body().length - claim.bodyBytes();
              claim.response = Optional.of(stored);
            });
  }

  /** Merges a claim of another holder; returns false if the table is full. */
  boolean merge(
      String organisation, ClaimSyncResponse.Entry entry, ClaimState state, ClockReading now) {
    ClockReading changedAt = now.plus(Duration.ofMillis(-Math.max(0, entry.ageMillis())));
    Optional<Claim> found = findLive(organisation, entry.key(), now);
    if (found.isEmpty()) {
      Claim claim = new Claim(entry.attempt(), false, changedAt);
      boolean added = add(organisation, entry.key(), claim);
      if (added) {
        updateClaim(claim, state, entry.answer(), changedAt);
      }
      return added;
    }
    Claim claim = found.get();
    boolean sameAttempt = claim.attempt.equals(entry.attempt());
    if (rank(state) > rank(claim.state) || (sameAttempt && state == ClaimState.RELEASED)) {
      if (!sameAttempt || claim.state == ClaimState.GRANTED) {
        claim.attempt = entry.attempt();
        claim.grantedHere &= sameAttempt;
        updateClaim(claim, state, entry.answer(), changedAt);
      }
    } else if (!sameAttempt && state == ClaimState.GRANTED && claim.state == ClaimState.GRANTED) {
      // Either attempt may have been sent, so neither may be granted here again.
      claim.state = ClaimState.UNKNOWN;
    }
    return true;
  }

  // A released claim yields to any attempt, and a granted one to a known outcome.
  private static int rank(ClaimState state) {
    return switch (state) {
      case RELEASED -> 0;
      case GRANTED -> 1;
      case UNKNOWN -> 2;
      case RUN -> 3;
    };
  }

  /** Returns one page of claims whose keys are greater than {@code afterKey}. */
  List<ClaimSyncResponse.Entry> page(String organisation, String afterKey, ClockReading now) {
    List<ClaimSyncResponse.Entry> page = new ArrayList<>();
    int bytes = 0;
    for (Map.Entry<String, Claim> entry :
        byOrganisation
            .getOrDefault(organisation, new TreeMap<>())
            .tailMap(afterKey, false)
            .entrySet()) {
      Claim claim = entry.getValue();
      if (page.size() >= MAX_PAGE_CLAIMS || bytes >= MAX_PAGE_BODY_BYTES) {
        break;
      }
      if (!claim.isExpired(now)) {
        bytes += claim.bodyBytes();
        long age = Math.max(0, now.since(claim.changedAt).toMillis());
        page.add(
            new ClaimSyncResponse.Entry(
                entry.getKey(), claim.attempt, claim.state.wireName(), age, claim.response));
      }
    }
    return page;
  }

  /** Returns whether any claim has a key greater than {@code key}. */
  boolean hasAfter(String organisation, String key) {
    NavigableMap<String, Claim> claims = byOrganisation.get(organisation);
    return claims != null && claims.higherKey(key) != null;
  }

  /** Removes the claims whose retention has ended. */
  void expire(ClockReading now) {
    for (NavigableMap<String, Claim> claims : byOrganisation.values()) {
      claims
          .values()
          .removeIf(
              claim -> {
                boolean expired = claim.isExpired(now);
                if (expired) {
                  claimCount--;
                  bodyBytes -= claim.bodyBytes();
                }
                return expired;
              });
    }
    byOrganisation.values().removeIf(Map::isEmpty);
  }

  int claimCount() {
    return claimCount;
  }
}
