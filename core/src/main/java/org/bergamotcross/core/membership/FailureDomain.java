package org.bergamotcross.core.membership;

/**
 * The name of a set of machines that can fail together.
 *
 * @param value the name
 */
public record FailureDomain(String value) {
  @Override
  public String toString() {
    return value;
  }
}
