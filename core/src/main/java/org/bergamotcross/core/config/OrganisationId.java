package org.bergamotcross.core.config;

/**
 * The id of an organisation: {@code <team>/<name>}.
 *
 * @param value the id
 */
public record OrganisationId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
