package org.bergamotcross.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The work that a target has started, in order; safe for use from any thread.
 *
 * <p>The oldest entries are dropped beyond a limit, so that long runs keep their memory bounded.
 */
public final class Executions {
  private final int maxEntries;
  private final Map<Long, Execution> entries = new LinkedHashMap<>();
  private long totalStarted;

  Executions(int limit) {
    this.maxEntries = limit;
  }

  synchronized void record(long work, Execution execution) {
    if (entries.put(work, execution) == null) {
      totalStarted++;
    }
    if (entries.size() > maxEntries) {
      entries.remove(entries.keySet().iterator().next());
    }
  }

  synchronized void updateState(long work, Execution.State state) {
    entries.computeIfPresent(work, (id, execution) -> execution.withState(state));
  }

  /**
   * Returns the work.
   *
   * @return the last entries within the limit, oldest first
   */
  public synchronized List<Execution> retained() {
    return List.copyOf(entries.values());
  }

  /**
   * Returns the work of one request.
   *
   * @param requestId the request id
   * @return its entries, oldest first; more than one when the request was repeated
   */
  public List<Execution> forRequest(String requestId) {
    return retained().stream().filter(e -> e.requestId().equals(requestId)).toList();
  }

  /**
   * Counts how often a request was started, whether or not it was completed.
   *
   * @param requestId the request id
   * @return the number
   */
  public int count(String requestId) {
    return forRequest(requestId).size();
  }

  /**
   * Counts all work.
   *
   * @return the number of entries, also of those that were dropped
   */
  public synchronized long totalStarted() {
    return totalStarted;
  }
}
