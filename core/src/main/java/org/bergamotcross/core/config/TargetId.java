package org.bergamotcross.core.config;

/**
 * The name of a target, unique within the fleet.
 *
 * @param value the name
 */
public record TargetId(String value) implements Comparable<TargetId> {
  @Override
  public int compareTo(TargetId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
