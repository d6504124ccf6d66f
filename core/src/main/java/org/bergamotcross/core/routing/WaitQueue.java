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
import org.bergamotcross.kernel.Now;

/**
 * Holds requests that wait for a target, by priority and then the earliest deadline first.
 *
 * <p>One organisation uses at most a quarter of the queue, so that it can't push out the others.
 *
 * @param <T> the type of the waiting requests
 */
public final class WaitQueue<T> {
  private static final int ORGANISATION_SHARE_DIVISOR = 4;

  /** The result of offering a request. */
  public sealed interface OfferResult {

    /** The request waits. */
    record Queued() implements OfferResult {}

    /** The queue is full; the request is not in it. */
    record QueueFull() implements OfferResult {}

    /** The organisation uses its quarter of the queue; the request is not in it. */
    record ShareExhausted() implements OfferResult {}
  }

  private record QueuedRequest<T>(
      String id,
      long arrival,
      OrganisationId organisation,
      int priority,
      Now deadline,
      T request) {}

  private final int capacity;
  private final TreeSet<QueuedRequest<T>> queue =
      new TreeSet<>(
          Comparator.comparingInt((QueuedRequest<T> waiter) -> waiter.priority())
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
      throw new IllegalArgumentException("queue has capacity " + capacity + "; use 1 or more");
    }
    this.capacity = capacity;
  }

  /**
   * Offers a request of the middle priority.
   *
   * @param id the request id, unique in the queue
   * @param organisation whose request it is
   * @param deadline when the caller stops waiting
   * @param request the request
   * @return whether it waits now
   * @throws IllegalArgumentException if a request with the id waits already
   */
  public OfferResult offer(String id, OrganisationId organisation, Now deadline, T request) {
    return offer(id, organisation, Route.Limits.DEFAULT_PRIORITY, deadline, request);
  }

  /**
   * Offers a request.
   *
   * @param id the request id, unique in the queue
   * @param organisation whose request it is
   * @param priority its rank; 0 is served first
   * @param deadline when the caller stops waiting
   * @param request the request
   * @return whether it waits now
   * @throws IllegalArgumentException if a request with the id waits already
   */
  public OfferResult offer(
      String id, OrganisationId organisation, int priority, Now deadline, T request) {
    if (queue.size() >= capacity) {
      return new OfferResult.QueueFull();
    }
    if (countByOrganisation.getOrDefault(organisation, 0)
        >= Math.max(1, capacity / ORGANISATION_SHARE_DIVISOR)) {
      return new OfferResult.ShareExhausted();
    }
    QueuedRequest<T> waiter =
        new QueuedRequest<>(id, nextArrival++, organisation, priority, deadline, request);
    if (byId.putIfAbsent(id, waiter) != null) {
      throw new IllegalArgumentException("request " + id + " waits already; use a unique id");
    }
    queue.add(waiter);
    countByOrganisation.merge(organisation, 1, Integer::sum);
    return new OfferResult.Queued();
  }

  /**
   * Returns the request that is served next and leaves it in the queue.
   *
   * @return the request of the first priority with the earliest deadline
   */
  public Optional<T> peek() {
    return queue.isEmpty() ? Optional.empty() : Optional.of(queue.first().request());
  }

  /**
   * Takes the request that is served next.
   *
   * @return the request of the first priority with the earliest deadline
   */
  public Optional<T> poll() {
    return queue.isEmpty() ? Optional.empty() : Optional.of(removeQueued(queue.first()));
  }

  /**
   * Takes a request, for example because its caller went away.
   *
   * @param id the request id
   * @return the request, or nothing when it does not wait
   */
  public Optional<T> remove(String id) {
    return Optional.ofNullable(byId.get(id)).map(this::removeQueued);
  }

  /**
   * Takes all requests whose deadline has come.
   *
   * @param now the present time
   * @return the requests in the order of the queue
   */
  public List<T> removeExpired(Now now) {
    List<T> expired = new ArrayList<>();
    List<QueuedRequest<T>> late =
        queue.stream().filter(waiter -> !waiter.deadline().isAfter(now)).toList();
    late.forEach(waiter -> expired.add(removeQueued(waiter)));
    return expired;
  }

  /**
   * Takes all requests that meet a condition, for example those with a withdrawn key.
   *
   * @param condition the condition
   * @return the requests in the order of the queue
   */
  public List<T> removeMatching(Predicate<T> condition) {
    List<QueuedRequest<T>> found =
        queue.stream().filter(waiter -> condition.test(waiter.request())).toList();
    return found.stream().map(this::removeQueued).toList();
  }

  /**
   * Returns the earliest deadline.
   *
   * @return the time at which the next request expires
   */
  public Optional<Now> nextDeadline() {
    return queue.stream().map(QueuedRequest::deadline).min(Comparator.naturalOrder());
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int size() {
    return queue.size();
  }

  private T removeQueued(QueuedRequest<T> waiter) {
    queue.remove(waiter);
    byId.remove(waiter.id());
    countByOrganisation.computeIfPresent(
        waiter.organisation(), (organisation, count) -> count > 1 ? count - 1 : null);
    return waiter.request();
  }
}
