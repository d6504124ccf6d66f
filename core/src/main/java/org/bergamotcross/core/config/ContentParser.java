package org.bergamotcross.core.config;

import java.util.List;

/**
 * Parses the settings of a team; an interface, so that the fold does not depend on the format.
 *
 * <p>The result must be a pure function of the text, because all readers of the log have to agree
 * on it.
 */
@FunctionalInterface
public interface ContentParser {

  /**
   * Parses and validates the settings of a team.
   *
   * @param path the path under which the text is published, for error messages
   * @param content the text
   * @return the settings, or all errors
   */
  Result parse(String path, String content);

  /** The result of parsing. */
  sealed interface Result {

    /**
     * The text is valid.
     *
     * @param settings the settings
     */
    record Valid(TeamSettings settings) implements Result {}

    /**
     * The text is invalid.
     *
     * @param problems the errors, at least one, each with what was found and what was expected
     */
    record Invalid(List<String> problems) implements Result {

      public Invalid {
        problems = List.copyOf(problems);
      }
    }
  }
}
