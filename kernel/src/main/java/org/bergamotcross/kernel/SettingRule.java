package org.bergamotcross.kernel;

import java.util.Optional;

/** Validates settings that depend on each other. */
@FunctionalInterface
public interface SettingRule {

  /**
   * Checks that the settings don't contradict each other.
   *
   * @param settings settings in which each single value is valid
   * @return the contradiction, or empty if there is none
   */
  Optional<SettingProblem> check(Settings settings);
}
