package org.bergamotcross.entry.duties;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.routing.WaitQueue;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.RequestHandle;
import org.bergamotcross.kernel.ClockReading;

/**
 * Holds all requests of the routing duty and the queue of each pool. Not thread-safe; used only by
 * the routing thread.
 */
final class RoutedRequestTable {
  // Requests on routes without keys are queued as those of one organisation.
  private static final OrganisationId NO_ORGANISATION = new OrganisationId("");

  private final int queueCapacity;
  private final IdentityHashMap<RequestHandle, RoutedRequest> byHandle = new IdentityHashMap<>();
  private final TreeSet<RoutedRequest> byDeadline = new TreeSet<>(RoutedRequest.BY_DEADLINE);
  private final Map<PoolId, WaitQueue<RoutedRequest>> queues = new HashMap<>();
  private final List<RoutedRequest> backingOff = new ArrayList<>();
  private long nextSequenceNumber;

  /**
   * Creates an empty table.
   *
   * @param queueCapacity the maximum number of requests that wait for the targets of one pool
   */
  RoutedRequestTable(int queueCapacity) {
    this.queueCapacity = queueCapacity;
  }

  RoutedRequest add(AdmittedRequest admitted) {
    RoutedRequest request = new RoutedRequest(admitted, nextSequenceNumber++);
    byHandle.put(admitted.request().handle(), request);
    byDeadline.add(request);
    return request;
  }

  boolean isEmpty() {
    return byHandle.isEmpty();
  }

  Optional<RoutedRequest> find(RequestHandle handle) {
    return Optional.ofNullable(byHandle.get(handle));
  }

  void remove(RoutedRequest request) {
    byHandle.remove(request.admitted().request().handle());
    byDeadline.remove(request);
    backingOff.remove(request);
    dequeue(request);
    request.enterStage(new RoutedRequest.Stage.Ended());
  }

  /** Queues a request for its pool; returns false when the queue has no room for it. */
  boolean enqueue(RoutedRequest request) {
    request.enterStage(new RoutedRequest.Stage.AwaitingTarget());
    WaitQueue<RoutedRequest> queue =
        queues.computeIfAbsent(pool(request), pool -> new WaitQueue<>(queueCapacity));
    return queue.offer(
            request.uniqueId(),
            request.admitted().organisation().orElse(NO_ORGANISATION),
            request.admitted().priority(),
            request.admitted().deadline(),
            request)
        instanceof WaitQueue.OfferResult.Queued;
  }

  /** Returns the next request in the queue of a pool. */
  Optional<RoutedRequest> nextQueued(PoolId pool) {
    return Optional.ofNullable(queues.get(pool)).flatMap(WaitQueue::peek);
  }

  void dequeue(RoutedRequest request) {
    Optional.ofNullable(queues.get(pool(request))).ifPresent(q -> q.remove(request.uniqueId()));
  }

  /** Returns the pools with queued requests, and removes empty queues. */
  List<PoolId> queuedPools() {
    queues.values().removeIf(queue -> queue.size() == 0);
    return List.copyOf(queues.keySet());
  }

  void backOff(RoutedRequest request, ClockReading until) {
    request.enterStage(new RoutedRequest.Stage.BackingOff(until));
    backingOff.add(request);
  }

  /** Removes and returns the requests whose retry delay is over. */
  List<RoutedRequest> takeDueRetries(ClockReading now) {
    List<RoutedRequest> due =
        backingOff.stream()
            .filter(
                r ->
                    r.stage() instanceof RoutedRequest.Stage.BackingOff b
                        && !now.isBefore(b.until()))
            .toList();
    backingOff.removeAll(due);
    return due;
  }

  /** Returns the requests whose deadline has passed. */
  List<RoutedRequest> findExpired(ClockReading now) {
    List<RoutedRequest> expired = new ArrayList<>();
    for (RoutedRequest request : byDeadline) {
      if (request.admitted().deadline().isAfter(now)) {
        break;
      }
      expired.add(request);
    }
    return expired;
  }

  /** Returns the requests without an attempt in flight that match a condition. */
  List<RoutedRequest> findUnsent(Predicate<RoutedRequest> condition) {
    return byDeadline.stream()
        .filter(
            request ->
                request.stage() instanceof RoutedRequest.Stage.AwaitingTarget
                    || request.stage() instanceof RoutedRequest.Stage.BackingOff)
        .filter(condition)
        .toList();
  }

  /** Returns the earliest deadline or end of a retry delay. */
  Optional<ClockReading> nextDueTime() {
    Optional<ClockReading> deadline =
        byDeadline.isEmpty()
            ? Optional.empty()
            : Optional.of(byDeadline.first().admitted().deadline());
    return Stream.concat(
            deadline.stream(),
            backingOff.stream()
                .map(RoutedRequest::stage)
                .flatMap(
                    stage ->
                        stage instanceof RoutedRequest.Stage.BackingOff b
                            ? Stream.of(b.until())
                            : Stream.empty()))
        .min(Comparator.naturalOrder());
  }

  List<RoutedRequest> all() {
    return List.copyOf(byDeadline);
  }

  private static PoolId pool(RoutedRequest request) {
    return request.admitted().pool();
  }
}
