package org.bergamotcross.kernel;

import java.util.List;

/** The result of reading a settings file. */
public sealed interface SettingsResult {

  /**
   * All values are right.
   *
   * @param settings the values
   */
  record Loaded(Settings settings) implements SettingsResult {}

  /**
   * The file can't be used.
   *
   * @param problems all that is wrong, at least one
   */
  record Rejected(List<SettingProblem> problems) implements SettingsResult {}
}
