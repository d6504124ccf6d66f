package org.bergamotcross.bench;

import java.util.function.Supplier;

/** Measures the heap memory that an object retains. */
final class MemoryProbe {
  private static final int GC_RUNS = 5;

  // Keeps the object reachable while it is measured.
  @SuppressWarnings("UnusedVariable")
  private static volatile Object retained;

  private MemoryProbe() {}

  /**
   * Builds an object twice and returns the memory that the second one retains; the first one loads
   * the classes.
   *
   * @param factory builds the object
   * @return the retained heap memory in bytes
   */
  static double retainedBytes(Supplier<?> factory) {
    retained = factory.get();
    retained = null;
    long before = usedHeapBytes();
    retained = factory.get();
    long after = usedHeapBytes();
    retained = null;
    return after - before;
  }

  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    long used = Long.MAX_VALUE;
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
      used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
    }
    return used;
  }
}
