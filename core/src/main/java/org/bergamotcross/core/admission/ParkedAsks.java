package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.Now;

/**
 * Asks for which a bucket has no token yet, most urgent first; one for each borrower.
 *
 * <p>Without it a token would go to whoever asks next, and an instance with most of the requests
 * would get no more tokens than one with few.
 */
final class ParkedAsks {
  /** Longer than a poll of the borrowers, and shorter than {@link BorrowedTokens#ANSWER_LIMIT}. */
  static final Duration LIMIT = Duration.ofMillis(100);

  /**
   * An ask that waits.
   *
   * @param from the borrower
   * @param ask its ask
   * @param urgentAt when its most urgent request ends its wait
   * @param until when it is answered with nothing
   */
  record Parked(InstanceId from, TokenAsk ask, Now urgentAt, Now until) {}

  private final Map<InstanceId, Parked> byBorrower = new HashMap<>();

  void add(InstanceId from, TokenAsk ask, Now now) {
    Now urgentAt = now.plus(Duration.ofMillis(ask.patienceMillis()));
    byBorrower.put(from, new Parked(from, ask, urgentAt, now.plus(LIMIT)));
  }

  boolean isEmpty() {
    return byBorrower.isEmpty();
  }

  /** Takes the most urgent ask. */
  Optional<Parked> poll() {
    Optional<Parked> first =
        byBorrower.values().stream().min(Comparator.comparing(Parked::urgentAt));
    first.ifPresent(parked -> byBorrower.remove(parked.from()));
    return first;
  }

  /** Takes the asks that have waited long enough. */
  List<Parked> expired(Now now) {
    List<Parked> expired = new ArrayList<>();
    Iterator<Parked> all = byBorrower.values().iterator();
    while (all.hasNext()) {
      Parked parked = all.next();
      if (!now.isBefore(parked.until())) {
        expired.add(parked);
        all.remove();
      }
    }
    return expired;
  }
}
