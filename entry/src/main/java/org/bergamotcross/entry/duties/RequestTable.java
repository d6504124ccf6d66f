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
import org.bergamotcross.kernel.Now;

/** All requests in hand, and the queue of each pool; used by the routing thread alone. */
final class RequestTable {
  // Requests of routes without keys share one part of the queue.
  private static final OrganisationId NO_ORGANISATION = new OrganisationId("");

  private final int queueCapacity;
  private final IdentityHashMap<RequestHandle, InHand> byHandle = new IdentityHashMap<>();
  private final TreeSet<InHand> byDeadline = new TreeSet<>(InHand.BY_DEADLINE);
  private final Map<PoolId, WaitQueue<InHand>> queues = new HashMap<>();
  private final List<InHand> backingOff = new ArrayList<>();
  private long order;

  /**
   * Creates an empty table.
   *
   * @param queueCapacity the number of requests that wait for the targets of one pool
   */
  RequestTable(int queueCapacity) {
    this.queueCapacity = queueCapacity;
  }

  InHand add(AdmittedRequest admitted) {
    InHand request = new InHand(admitted, order++);
    byHandle.put(admitted.request().handle(), request);
    byDeadline.add(request);
    return request;
  }

  boolean isEmpty() {
    return byHandle.isEmpty();
  }

  Optional<InHand> find(RequestHandle handle) {
    return Optional.ofNullable(byHandle.get(handle));
  }

  void remove(InHand request) {
    byHandle.remove(request.admitted().request().handle());
    byDeadline.remove(request);
    backingOff.remove(request);
    dequeue(request);
    request.enter(new InHand.Stage.Ended());
  }

  /** Puts a request into the queue of its pool. */
  boolean enqueue(InHand request) {
    request.enter(new InHand.Stage.Waiting());
    WaitQueue<InHand> queue =
        queues.computeIfAbsent(pool(request), pool -> new WaitQueue<>(queueCapacity));
    return queue.offer(
            request.uniqueId(),
            request.admitted().organisation().orElse(NO_ORGANISATION),
            request.admitted().priority(),
            request.admitted().deadline(),
            request)
        instanceof WaitQueue.OfferResult.Queued;
  }

  /** Returns the request of a pool that is served next. */
  Optional<InHand> next(PoolId pool) {
    return Optional.ofNullable(queues.get(pool)).flatMap(WaitQueue::peek);
  }

  void dequeue(InHand request) {
    Optional.ofNullable(queues.get(pool(request))).ifPresent(q -> q.remove(request.uniqueId()));
  }

  /** Returns the pools that have a queue; empty queues are dropped. */
  List<PoolId> waitingPools() {
    queues.values().removeIf(queue -> queue.size() == 0);
    return List.copyOf(queues.keySet());
  }

  void backOff(InHand request, Now until) {
    request.enter(new InHand.Stage.BackingOff(until));
    backingOff.add(request);
  }

  /** Takes the requests that may be sent again. */
  List<InHand> takeDue(Now now) {
    List<InHand> due =
        backingOff.stream()
            .filter(r -> r.stage() instanceof InHand.Stage.BackingOff b && !now.isBefore(b.until()))
            .toList();
    backingOff.removeAll(due);
    return due;
  }

  /** Returns the requests whose deadline has come. */
  List<InHand> expired(Now now) {
    List<InHand> expired = new ArrayList<>();
    for (InHand request : byDeadline) {
      if (request.admitted().deadline().isAfter(now)) {
        break;
      }
      expired.add(request);
    }
    return expired;
  }

  /** Returns the requests that are not with a target and meet a condition. */
  List<InHand> unsent(Predicate<InHand> condition) {
    return byDeadline.stream()
        .filter(
            request ->
                request.stage() instanceof InHand.Stage.Waiting
                    || request.stage() instanceof InHand.Stage.BackingOff)
        .filter(condition)
        .toList();
  }

  /** Returns the next time at which a deadline or the end of a back-off comes. */
  Optional<Now> nextDue() {
    Optional<Now> deadline =
        byDeadline.isEmpty()
            ? Optional.empty()
            : Optional.of(byDeadline.first().admitted().deadline());
    return Stream.concat(
            deadline.stream(),
            backingOff.stream()
                .map(InHand::stage)
                .flatMap(
                    stage ->
                        stage instanceof InHand.Stage.BackingOff b
                            ? Stream.of(b.until())
                            : Stream.empty()))
        .min(Comparator.naturalOrder());
  }

  List<InHand> all() {
    return List.copyOf(byDeadline);
  }

  private static PoolId pool(InHand request) {
    return request.admitted().pool();
  }
}
