package org.bergamotcross.core.membership;

/**
 * The name of a failure domain: a set of machines that can fail together, such as a zone.
 *
 * @param value the name
 */
public record FailureDomain(String value) {
  @Override
  public String toString() {
    return value;
  }
}
