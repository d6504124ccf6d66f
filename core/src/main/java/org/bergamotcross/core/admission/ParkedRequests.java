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
import org.bergamotcross.kernel.ClockReading;

/**
 * Token requests that wait for a bucket to refill, most urgent first; at most one per borrower.
 *
 * <p>Without it, a new token would go to whichever borrower asks next, and an instance with most of
 * the load would get no more tokens than one with little.
 */
final class ParkedRequests {
  /**
   * How long a request is parked at most: longer than the borrowers' polling interval and shorter
   * than {@link BorrowedTokens#RESPONSE_TIMEOUT}.
   */
  static final Duration MAX_PARKED_TIME = Duration.ofMillis(100);

  /**
   * A parked request.
   *
   * @param borrower the borrower
   * @param request its request
   * @param deadline when the borrower's most urgent request stops waiting
   * @param until when it is answered, with or without tokens
   */
  record ParkedRequest(
      InstanceId borrower, TokenRequest request, ClockReading deadline, ClockReading until) {}

  private final Map<InstanceId, ParkedRequest> byBorrower = new HashMap<>();

  void add(InstanceId from, TokenRequest request, ClockReading now) {
    ClockReading deadline = now.plus(Duration.ofMillis(request.patienceMillis()));
    byBorrower.put(from, new ParkedRequest(from, request, deadline, now.plus(MAX_PARKED_TIME)));
  }

  boolean isEmpty() {
    return byBorrower.isEmpty();
  }

  /** Removes and returns the most urgent request. */
  Optional<ParkedRequest> poll() {
    Optional<ParkedRequest> first =
        byBorrower.values().stream().min(Comparator.comparing(ParkedRequest::deadline));
    first.ifPresent(parked -> byBorrower.remove(parked.borrower()));
    return first;
  }

  /** Removes and returns the requests that have been parked for the maximum time. */
  List<ParkedRequest> removeExpired(ClockReading now) {
    List<ParkedRequest> expired = new ArrayList<>();
    Iterator<ParkedRequest> all = byBorrower.values().iterator();
    while (all.hasNext()) {
      ParkedRequest parked = all.next();
      if (!now.isBefore(parked.until())) {
        expired.add(parked);
        all.remove();
      }
    }
    return expired;
  }
}
