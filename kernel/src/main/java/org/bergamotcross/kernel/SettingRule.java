package org.bergamotcross.kernel;

import java.util.Optional;

/** Checks values that depend on each other. */
@FunctionalInterface
public interface SettingRule {

  /**
   * Checks the settings.
   *
   * @param settings settings of which each single value is right
   * @return the contradiction, or nothing when there is none
   */
  Optional<SettingProblem> check(Settings settings);
}
