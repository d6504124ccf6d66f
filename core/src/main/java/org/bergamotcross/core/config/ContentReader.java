package org.bergamotcross.core.config;

import java.util.List;

/**
 * Reads the text of a subtree; kept apart so that the fold does not depend on the format.
 *
 * <p>It must be a pure function of the text: all readers of the log have to agree on the result.
 */
@FunctionalInterface
public interface ContentReader {

  /**
   * Reads and checks a subtree.
   *
   * @param path the path under which the text is published, for problems
   * @param content the text
   * @return the subtree, or all problems
   */
  Result read(String path, String content);

  /** The result of reading a subtree. */
  sealed interface Result {

    /**
     * The text is right.
     *
     * @param settings the subtree
     */
    record Valid(TeamSettings settings) implements Result {}

    /**
     * The text can't be used.
     *
     * @param problems what is wrong and what would be right, at least one
     */
    record Invalid(List<String> problems) implements Result {

      /** Copies the list. */
      public Invalid {
        problems = List.copyOf(problems);
      }
    }
  }
}
