package org.bergamotcross.core.config;

import java.util.Comparator;

/**
 * A position in a log of a store that may be restored from an older copy.
 *
 * <p>Each restore raises the era. Offsets go back and are given out again with other content, so
 * that offsets of different eras say nothing about each other.
 *
 * @param era the number of restores that the store reports, 0 if it reports none
 * @param offset the offset in the log as of this era
 */
public record CatalogPosition(long era, long offset) implements Comparable<CatalogPosition> {
  /** The position before all records. */
  public static final CatalogPosition START = new CatalogPosition(0, 0);

  private static final Comparator<CatalogPosition> ORDER =
      Comparator.comparingLong(CatalogPosition::era).thenComparingLong(CatalogPosition::offset);

  @Override
  public int compareTo(CatalogPosition other) {
    return ORDER.compare(this, other);
  }

  /**
   * Tells whether this position precedes another one.
   *
   * @param other the other position
   * @return whether its era is earlier, or its offset lower in the same era
   */
  public boolean isBefore(CatalogPosition other) {
    return compareTo(other) < 0;
  }

  /**
   * Returns the later of two positions.
   *
   * @param a a position
   * @param b another position
   * @return the one that does not precede the other
   */
  public static CatalogPosition latest(CatalogPosition a, CatalogPosition b) {
    return a.isBefore(b) ? b : a;
  }

  /**
   * Returns the position after this one in the same era.
   *
   * @return the next position
   */
  public CatalogPosition next() {
    return new CatalogPosition(era, offset + 1);
  }
}
