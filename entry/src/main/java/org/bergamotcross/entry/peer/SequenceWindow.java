package org.bergamotcross.entry.peer;

/** Remembers which of the latest sequence numbers of an origin were seen. */
final class SequenceWindow {
  private long highest;
  private long seen;

  /** Returns whether a number was seen, or is so old that this is not known any more. */
  boolean contains(long sequence) {
    long age = highest - sequence;
    return age >= 0 && (age >= Long.SIZE || (seen & (1L << age)) != 0);
  }

  /** Adds a number. */
  void add(long sequence) {
    long advance = sequence - highest;
    if (advance > 0) {
      seen = advance >= Long.SIZE ? 0 : seen << advance;
      highest = sequence;
    }
    long age = highest - sequence;
    if (age < Long.SIZE) {
      seen |= 1L << age;
    }
  }
}
