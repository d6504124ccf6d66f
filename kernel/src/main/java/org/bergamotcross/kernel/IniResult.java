package org.bergamotcross.kernel;

/** The result of parsing INI text. */
public sealed interface IniResult {

  /**
   * The text is INI.
   *
   * @param document the sections
   */
  record Parsed(IniDocument document) implements IniResult {}

  /**
   * The text can't be read as INI.
   *
   * @param problem where and why
   */
  record Malformed(SettingProblem problem) implements IniResult {}
}
