package org.bergamotcross.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.kernel.ClockReading;

/**
 * A bounded queue of requests that wait for a target, ordered by priority, then by earliest
 * deadline.
 *
 * <p>One organisation occupies at most a quarter of the queue, so that it cannot crowd out the
 * others.
 *
 * @param <T> the type of the waiting requests
 */
public final class WaitQueue<T> {
  private static final int ORGANISATION_SHARE_DIVISOR = 4;

  /** The result of offering a request. */
  public sealed interface OfferResult {

    /** The request is queued. */
    record Queued() implements OfferResult {}

    /** The queue is full and the request was rejected. */
    record QueueFull() implements OfferResult {}

    /** The organisation occupies its quarter of the queue and the request was rejected. */
    record ShareExhausted() implements OfferResult {}
  }

  private record QueuedRequest<T>(
      String id,
      long arrival,
      OrganisationId organisation,
      int priority,
      ClockReading deadline,
      T request) {}

  private final int capacity;
  private final TreeSet<QueuedRequest<T>> queue =
      new TreeSet<>(
          Comparator.comparingInt((QueuedRequest<T> queued) -> queued.priority())
              .thenComparing(QueuedRequest::deadline)
              .thenComparingLong(QueuedRequest::arrival));
  private final Map<String, QueuedRequest<T>> byId = new HashMap<>();
  private final Map<OrganisationId, Integer> countByOrganisation = new HashMap<>();
  private long nextArrival;

  /**
   * Creates an empty queue.
   *
   * @param capacity the number of requests it holds, at least 1
   * @throws IllegalArgumentException if the capacity is below 1
   */
  public WaitQueue(int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException(
          "queue capacity is " + capacity + "; it must be at least 1");
    }
    this.capacity = capacity;
  }

  /**
   * Offers a request with the default priority.
   *
   * @param id the request id, unique in the queue
   * @param organisation the organisation that sent the request
   * @param deadline when the caller stops waiting
   * @param request the request
   * @return whether the request was queued, or why not
   * @throws IllegalArgumentException if a request with this id is already queued
   */
  public OfferResult offer(
      String id, OrganisationId organisation, ClockReading deadline, T request) {
    return offer(id, organisation, Route.Limits.DEFAULT_PRIORITY, deadline, request);
  }

  /**
   * Offers a request.
   *
   * @param id the request id, unique in the queue
   * @param organisation the organisation that sent the request
   * @param priority its priority; 0 is served first
   * @param deadline when the caller stops waiting
   * @param request the request
   * @return whether the request was queued, or why not
   * @throws IllegalArgumentException if a request with this id is already queued
   */
  public OfferResult offer(
      String id, OrganisationId organisation, int priority, ClockReading deadline, T request) {
    if (queue.size() >= capacity) {
      return new OfferResult.QueueFull();
    }
    if (countByOrganisation.getOrDefault(organisation, 0)
        >= Math.max(1, capacity / ORGANISATION_SHARE_DIVISOR)) {
      return new OfferResult.ShareExhausted();
    }
    QueuedRequest<T> queued =
        new QueuedRequest<>(id, nextArrival++, organisation, priority, deadline, request);
    if (byId.putIfAbsent(id, queued) != null) {
      throw new IllegalArgumentException(
          "request " + id + " is already queued; ids must be unique");
    }
    queue.add(queued);
    countByOrganisation.merge(organisation, 1, Integer::sum);
    return new OfferResult.Queued();
  }

  /**
   * Returns the request that is served next without removing it.
   *
   * @return the request of the first priority with the earliest deadline
   */
  public Optional<T> peek() {
    return queue.isEmpty() ? Optional.empty() : Optional.of(queue.first().request());
  }

  /**
   * Removes and returns the request that is served next.
   *
   * @return the request of the first priority with the earliest deadline
   */
  public Optional<T> poll() {
    return queue.isEmpty() ? Optional.empty() : Optional.of(removeQueued(queue.first()));
  }

  /**
   * Removes a request, for example because its caller disconnected.
   *
   * @param id the request id
   * @return the request, or empty if it is not queued
   */
  public Optional<T> remove(String id) {
    return Optional.ofNullable(byId.get(id)).map(this::removeQueued);
  }

  /**
   * Removes all requests whose deadline has passed.
   *
   * @param now the current time
   * @return the removed requests in queue order
   */
  public List<T> removeExpired(ClockReading now) {
    List<T> expired = new ArrayList<>();
    List<QueuedRequest<T>> overdue =
        queue.stream().filter(queued -> !queued.deadline().isAfter(now)).toList();
    overdue.forEach(queued -> expired.add(removeQueued(queued)));
    return expired;
  }

  /**
   * Removes all requests that meet a condition, for example those with a withdrawn key.
   *
   * @param condition the condition
   * @return the removed requests in queue order
   */
  public List<T> removeMatching(Predicate<T> condition) {
    List<QueuedRequest<T>> matching =
        queue.stream().filter(queued -> condition.test(queued.request())).toList();
    return matching.stream().map(this::removeQueued).toList();
  }

  /**
   * Returns the earliest deadline of all queued requests.
   *
   * @return the time at which the next request expires, or empty if none is queued
   */
  public Optional<ClockReading> nextDeadline() {
    return queue.stream().map(QueuedRequest::deadline).min(Comparator.naturalOrder());
  }

  /**
   * Returns the number of queued requests.
   *
   * @return the number
   */
  public int size() {
    return queue.size();
  }

  private T removeQueued(QueuedRequest<T> queued) {
    queue.remove(queued);
    byId.remove(queued.id());
    countByOrganisation.computeIfPresent(
        queued.organisation(), (organisation, count) -> count > 1 ? count - 1 : null);
    return queued.request();
  }
}
