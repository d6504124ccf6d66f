package org.bergamotcross.kernel;

/** The result of parsing INI text. */
public sealed interface IniResult {

  /**
   * Indicates that the text was parsed.
   *
   * @param document the parsed document
   */
  record Parsed(IniDocument document) implements IniResult {}

  /**
   * Indicates that the text is not valid INI.
   *
   * @param problem the place and the reason
   */
  record Malformed(SettingProblem problem) implements IniResult {}
}
