package org.bergamotcross.entry;

/**
 * Counts the requests and connections that a graceful shutdown waits for; provided by the front
 * end.
 */
public interface OpenRequests {

  /**
   * Counts the requests whose response has not been handed over in full.
   *
   * @return the number of open requests
   */
  int requestCount();

  /**
   * Counts the open connections of callers.
   *
   * @return the number of connections
   */
  int connectionCount();

  /** Closes connections without an open request, after their last response has been written. */
  void closeIdleConnections();
}
