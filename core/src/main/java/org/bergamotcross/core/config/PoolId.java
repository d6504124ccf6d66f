package org.bergamotcross.core.config;

/**
 * The id of a pool: {@code <team>/<name>}.
 *
 * @param value the id
 */
public record PoolId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
