package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.kernel.ClockReading;

/**
 * A queue of requests that wait for a token, earliest deadline first within each organisation.
 *
 * <pre>{@code
 * Optional<Refusal> refusal = waitQueue.offer(id, organisation, deadline, rate, supply, now);
 * while (waitQueue.waitingCount(organisation) > 0 && borrower.takeToken(organisation, now)) {
 *   waitQueue.poll(organisation).ifPresent(this::admit);
 * }
 * }</pre>
 */
public final class TokenWaitQueue {
  /** The longest time that a request waits for a token. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(4);

  private static final int ORGANISATION_CAPACITY_DIVISOR = 4;

  /** An upper bound on the tokens that can be obtained within a given time. */
  @FunctionalInterface
  public interface TokenSupply {
    /**
     * Returns the maximum number of tokens that can be obtained in time.
     *
     * @param seconds the time from now on
     * @return the upper bound
     */
    double maxTokensWithin(double seconds);
  }

  /**
   * A request that has waited until its deadline or the maximum wait.
   *
   * @param requestId the request
   * @param organisation the organisation of the request
   */
  public record Expired(String requestId, OrganisationId organisation) {}

  private record Entry(
      String requestId, OrganisationId organisation, ClockReading until, long order) {}

  // ClockReading compares monotonic differences, because the monotonic clock has no fixed zero.
  private static final Comparator<Entry> BY_DEADLINE =
      Comparator.comparing(Entry::until).thenComparingLong(Entry::order);

  private final int capacity;
  private final Map<OrganisationId, NavigableSet<Entry>> queues = new HashMap<>();
  private final Map<String, Entry> byRequest = new HashMap<>();
  private long offeredCount;

  /**
   * Creates an empty queue.
   *
   * @param capacity the maximum number of requests; one organisation may use a quarter of it
   */
  public TokenWaitQueue(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a request, unless it cannot get a token in time or the queue is full.
   *
   * @param requestId the request
   * @param organisation the organisation of the request
   * @param deadline when the caller stops waiting for a response
   * @param rate the rate of the organisation in requests per second, above 0
   * @param supply the upper bound on the tokens that can be obtained
   * @param now the current time
   * @return the reason for a refusal; empty if the request was queued
   */
  public Optional<Refusal> offer(
      String requestId,
      OrganisationId organisation,
      ClockReading deadline,
      double rate,
      TokenSupply supply,
      ClockReading now) {
    ClockReading limit = now.plus(MAX_WAIT);
    Entry entry =
        new Entry(
            requestId, organisation, deadline.isBefore(limit) ? deadline : limit, offeredCount++);
    NavigableSet<Entry> queue = queues.getOrDefault(organisation, new TreeSet<>(BY_DEADLINE));
    double ahead = queue.headSet(entry).size() + 1.0;
    double missing = ahead - supply.maxTokensWithin(entry.until.since(now).toNanos() / 1e9);
    if (missing > 0) {
      double wait = Math.max(0, ahead - supply.maxTokensWithin(0)) / rate;
      return Optional.of(new Refusal.RateExceeded(Duration.ofMillis((long) Math.ceil(wait * 1e3))));
    }
    if (byRequest.size() >= capacity || queue.size() >= organisationCapacity()) {
      return Optional.of(new Refusal.Overloaded("rate-wait"));
    }
    queues.put(organisation, queue);
    queue.add(entry);
    byRequest.put(requestId, entry);
    return Optional.empty();
  }

  private int organisationCapacity() {
    return Math.max(1, capacity / ORGANISATION_CAPACITY_DIVISOR);
  }

  /**
   * Returns the number of waiting requests of an organisation.
   *
   * @param organisation the organisation
   * @return the number of requests
   */
  public int waitingCount(OrganisationId organisation) {
    NavigableSet<Entry> queue = queues.get(organisation);
    return queue == null ? 0 : queue.size();
  }

  /**
   * Returns how long the most urgent request of an organisation can still wait.
   *
   * @param organisation the organisation
   * @param now the current time
   * @return the remaining time; zero if none waits
   */
  public Duration maxRemainingWait(OrganisationId organisation, ClockReading now) {
    NavigableSet<Entry> queue = queues.get(organisation);
    return queue == null || queue.isEmpty() ? Duration.ZERO : queue.first().until.since(now);
  }

  /**
   * Returns the organisations with waiting requests.
   *
   * @return an immutable copy
   */
  public Set<OrganisationId> organisations() {
    return Set.copyOf(queues.keySet());
  }

  /**
   * Removes and returns the request with the earliest deadline.
   *
   * @param organisation the organisation
   * @return the request id; empty if none waits
   */
  public Optional<String> poll(OrganisationId organisation) {
    NavigableSet<Entry> queue = queues.get(organisation);
    Optional<Entry> first =
        queue == null || queue.isEmpty() ? Optional.empty() : Optional.of(queue.first());
    first.ifPresent(this::removeEntry);
    return first.map(Entry::requestId);
  }

  /**
   * Removes a request, for example because its caller disconnected.
   *
   * @param requestId the request
   * @return whether it was queued
   */
  public boolean remove(String requestId) {
    Optional<Entry> entry = Optional.ofNullable(byRequest.get(requestId));
    entry.ifPresent(this::removeEntry);
    return entry.isPresent();
  }

  private void removeEntry(Entry entry) {
    byRequest.remove(entry.requestId);
    NavigableSet<Entry> queue = queues.get(entry.organisation);
    queue.remove(entry);
    if (queue.isEmpty()) {
      queues.remove(entry.organisation);
    }
  }

  /**
   * Removes and returns the requests whose wait has expired.
   *
   * @param now the current time
   * @return the expired requests, which the caller refuses
   */
  public List<Expired> removeExpired(ClockReading now) {
    List<Expired> expired = new ArrayList<>();
    for (NavigableSet<Entry> queue : List.copyOf(queues.values())) {
      while (!queue.isEmpty() && !now.isBefore(queue.first().until)) {
        expired.add(new Expired(queue.first().requestId, queue.first().organisation));
        removeEntry(queue.first());
      }
    }
    return expired;
  }
}
