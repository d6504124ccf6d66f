package org.bergamotcross.core.membership;

/**
 * The configured name of an instance.
 *
 * @param value the name
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
