package org.bergamotcross.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Log of the work that a target has started, in order of start. Thread-safe.
 *
 * <p>The oldest entries are dropped beyond a limit to bound the memory of long runs.
 */
public final class Executions {
  private final int maxEntries;
  private final Map<Long, Execution> entries = new LinkedHashMap<>();
  private long totalStarted;

  Executions(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  synchronized void add(long work, Execution execution) {
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
   * Returns the most recent entries.
   *
   * @return the entries that have not been dropped, oldest first
   */
  public synchronized List<Execution> retained() {
    return List.copyOf(entries.values());
  }

  /**
   * Returns the executions of one request.
   *
   * @param requestId the request id
   * @return the entries, oldest first; several if the request was executed more than once
   */
  public List<Execution> forRequest(String requestId) {
    return retained().stream().filter(e -> e.requestId().equals(requestId)).toList();
  }

  /**
   * Counts the executions of a request, completed or not.
   *
   * @param requestId the request id
   * @return the number of executions that were started and not dropped
   */
  public int count(String requestId) {
    return forRequest(requestId).size();
  }

  /**
   * Counts all executions ever started.
   *
   * @return the number of executions, including those that were dropped
   */
  public synchronized long totalStarted() {
    return totalStarted;
  }
}
