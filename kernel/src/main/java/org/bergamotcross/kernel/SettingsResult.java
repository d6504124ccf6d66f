package org.bergamotcross.kernel;

import java.util.List;

/** The result of reading a settings file. */
public sealed interface SettingsResult {

  /**
   * Indicates that the file is valid.
   *
   * @param settings the settings
   */
  record Loaded(Settings settings) implements SettingsResult {}

  /**
   * Indicates that the file is unreadable or invalid.
   *
   * @param problems all problems found, at least one
   */
  record Rejected(List<SettingProblem> problems) implements SettingsResult {}
}
