package org.bergamotcross.entry;

/** Counts what a planned stop has to wait for; provided by the front end. */
public interface OpenRequests {

  /**
   * Returns the number of requests whose response has not been handed over in full.
   *
   * @return the number of open requests
   */
  int requestCount();

  /**
   * Returns the number of open connections of callers.
   *
   * @return the number of connections
   */
  int connectionCount();

  /** Closes the connections that have no request, after their last response has been written. */
  void closeIdleConnections();
}
