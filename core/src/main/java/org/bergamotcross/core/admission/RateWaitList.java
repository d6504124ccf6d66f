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
import org.bergamotcross.kernel.Now;

/**
 * Requests that wait for a token, earliest deadline first within each organisation.
 *
 * <pre>{@code
 * Optional<Refusal> refusal = waitList.offer(id, organisation, deadline, rate, supply, now);
 * while (waitList.waiting(organisation) > 0 && borrower.take(organisation, now)) {
 *   waitList.poll(organisation).ifPresent(this::admit);
 * }
 * }</pre>
 */
public final class RateWaitList {
  /** The longest time that a request waits for a token. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(4);

  private static final int SHARE_DIVISOR = 4;

  /** Tells how many tokens can be had at most within a number of seconds. */
  @FunctionalInterface
  public interface Supply {
    /**
     * Returns an upper bound of the tokens.
     *
     * @param seconds the time from now on
     * @return the tokens that can be had at most
     */
    double within(double seconds);
  }

  /**
   * A request whose time is over.
   *
   * @param requestId the request
   * @param organisation its organisation
   */
  public record Expired(String requestId, OrganisationId organisation) {}

  private record Entry(String requestId, OrganisationId organisation, Now until, long order) {}

  // Compares the monotonic difference, because a reading of the clock has no fixed zero.
  private static final Comparator<Entry> BY_DEADLINE =
      Comparator.comparing(Entry::until).thenComparingLong(Entry::order);

  private final int capacity;
  private final Map<OrganisationId, NavigableSet<Entry>> queues = new HashMap<>();
  private final Map<String, Entry> byRequest = new HashMap<>();
  private long offered;

  /**
   * Creates an empty list.
   *
   * @param capacity the number of requests it holds; an organisation may use a quarter
   */
  public RateWaitList(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a request, unless it certainly gets no token in time or there is no room.
   *
   * @param requestId the request
   * @param organisation its organisation
   * @param deadline when its caller stops waiting
   * @param rate the rate of the organisation in requests per second, above 0
   * @param supply the tokens that can be had at most
   * @param now the present time
   * @return why the request is refused; nothing when it waits
   */
  public Optional<Refusal> offer(
      String requestId,
      OrganisationId organisation,
      Now deadline,
      double rate,
      Supply supply,
      Now now) {
    Now limit = now.plus(MAX_WAIT);
    Entry entry =
        new Entry(requestId, organisation, deadline.isBefore(limit) ? deadline : limit, offered++);
    NavigableSet<Entry> queue = queues.getOrDefault(organisation, new TreeSet<>(BY_DEADLINE));
    double ahead = queue.headSet(entry).size() + 1.0;
    double missing = ahead - supply.within(entry.until.since(now).toNanos() / 1e9);
    if (missing > 0) {
      double wait = Math.max(0, ahead - supply.within(0)) / rate;
      return Optional.of(new Refusal.RateExceeded(Duration.ofMillis((long) Math.ceil(wait * 1e3))));
    }
    if (byRequest.size() >= capacity || queue.size() >= share()) {
      return Optional.of(new Refusal.Overloaded("rate-wait"));
    }
    queues.put(organisation, queue);
    queue.add(entry);
    byRequest.put(requestId, entry);
    return Optional.empty();
  }

  private int share() {
    return Math.max(1, capacity / SHARE_DIVISOR);
  }

  /**
   * Returns the number of waiting requests of an organisation.
   *
   * @param organisation the organisation
   * @return the number
   */
  public int waiting(OrganisationId organisation) {
    NavigableSet<Entry> queue = queues.get(organisation);
    return queue == null ? 0 : queue.size();
  }

  /**
   * Returns how long the most urgent request of an organisation can still wait.
   *
   * @param organisation the organisation
   * @param now the present time
   * @return the time, zero when none waits
   */
  public Duration patience(OrganisationId organisation, Now now) {
    NavigableSet<Entry> queue = queues.get(organisation);
    return queue == null || queue.isEmpty() ? Duration.ZERO : queue.first().until.since(now);
  }

  /**
   * Returns the organisations with waiting requests.
   *
   * @return a copy
   */
  public Set<OrganisationId> organisations() {
    return Set.copyOf(queues.keySet());
  }

  /**
   * Takes the request with the earliest deadline.
   *
   * @param organisation the organisation
   * @return the request, or nothing when none waits
   */
  public Optional<String> poll(OrganisationId organisation) {
    NavigableSet<Entry> queue = queues.get(organisation);
    Optional<Entry> first =
        queue == null || queue.isEmpty() ? Optional.empty() : Optional.of(queue.first());
    first.ifPresent(this::drop);
    return first.map(Entry::requestId);
  }

  /**
   * Removes a request, for example because its caller went away.
   *
   * @param requestId the request
   * @return whether it waited
   */
  public boolean remove(String requestId) {
    Optional<Entry> entry = Optional.ofNullable(byRequest.get(requestId));
    entry.ifPresent(this::drop);
    return entry.isPresent();
  }

  private void drop(Entry entry) {
    byRequest.remove(entry.requestId);
    NavigableSet<Entry> queue = queues.get(entry.organisation);
    queue.remove(entry);
    if (queue.isEmpty()) {
      queues.remove(entry.organisation);
    }
  }

  /**
   * Removes the requests whose time is over.
   *
   * @param now the present time
   * @return the requests, to be refused
   */
  public List<Expired> expired(Now now) {
    List<Expired> expired = new ArrayList<>();
    for (NavigableSet<Entry> queue : List.copyOf(queues.values())) {
      while (!queue.isEmpty() && !now.isBefore(queue.first().until)) {
        expired.add(new Expired(queue.first().requestId, queue.first().organisation));
        drop(queue.first());
      }
    }
    return expired;
  }
}
