package org.bergamotcross.entry.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory of all response bodies that are being buffered at the same time. A response
 * that no longer fits is streamed to its caller.
 */
final class ResponseBufferBudget {
  /** Leaves most of the heap to requests, connections and the state of the duties. */
  private static final int HEAP_DIVISOR = 4;

  private final long maxBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  /**
   * Creates a budget without reservations.
   *
   * @param maxBytes the maximum number of reserved bytes
   */
  ResponseBufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Creates the budget of a process.
   *
   * @return a budget of a quarter of the maximum heap
   */
  static ResponseBufferBudget ofHeap() {
    return new ResponseBufferBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /**
   * Reserves bytes; the caller must release them.
   *
   * @param bytes the number of bytes
   * @return whether they fitted
   */
  boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    release(bytes);
    return false;
  }

  /**
   * Releases reserved bytes.
   *
   * @param bytes the number of bytes
   */
  void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /**
   * Returns how many bytes are reserved.
   *
   * @return the number of bytes
   */
  long reservedBytes() {
    return reservedBytes.get();
  }
}
