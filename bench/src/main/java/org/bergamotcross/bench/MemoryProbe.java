package org.bergamotcross.bench;

import java.util.function.Supplier;

/** Measures how much memory an object keeps in use. */
final class MemoryProbe {
  private static final int COLLECTIONS = 5;

  // Keeps results reachable, so that neither the collector nor the compiler removes the work.
  @SuppressWarnings("UnusedVariable")
  private static volatile Object kept;

  private MemoryProbe() {}

  /**
   * Builds an object twice and returns the memory of the second one; the first loads classes.
   *
   * @param build builds the object
   * @return bytes of the heap
   */
  static double bytes(Supplier<?> build) {
    kept = build.get();
    kept = null;
    long before = usedMemory();
    kept = build.get();
    long after = usedMemory();
    kept = null;
    return after - before;
  }

  private static long usedMemory() {
    Runtime runtime = Runtime.getRuntime();
    long used = Long.MAX_VALUE;
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
    }
    return used;
  }
}
