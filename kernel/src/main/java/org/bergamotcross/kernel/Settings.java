package org.bergamotcross.kernel;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds the validated settings of a process. */
public final class Settings {
  private final String file;
  private final Map<Setting<?>, Object> values;

  private Settings(String file, Map<Setting<?>, Object> values) {
    this.file = file;
    this.values = Map.copyOf(values);
  }

  /**
   * Returns the value of a setting.
   *
   * @param setting a setting that was declared to {@link #read} or {@link #parse}
   * @param <T> the type of the value
   * @return the value
   * @throws IllegalArgumentException if the setting was not declared
   */
  // Safe: the value stored for a setting was returned by the parser of that setting.
  @SuppressWarnings("unchecked")
  public <T> T value(Setting<T> setting) {
    Object value = values.get(setting);
    if (value == null) {
      throw new IllegalArgumentException(
          "setting [" + setting.section() + "] " + setting.key() + " is not declared");
    }
    return (T) value;
  }

  /**
   * Returns the name of the settings file, for rules that report a problem.
   *
   * @return the name as given on the command line
   */
  public String file() {
    return file;
  }

  /**
   * Reads and validates a settings file, and reports all problems together.
   *
   * @param file the INI file
   * @param declared the settings that the file may contain; those without a default are required
   * @param rules the rules checked once each single value is valid
   * @return the settings, or all problems found
   */
  public static SettingsResult read(
      Path file, Collection<Setting<?>> declared, Collection<SettingRule> rules) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      return new SettingsResult.Rejected(
          List.of(
              new SettingProblem(
                  file.toString(), "", "", "no readable file (" + e + ")", "an INI file")));
    }
    return parse(file.toString(), text, declared, rules);
  }

  /**
   * Parses and validates INI text, and reports all problems together.
   *
   * @param file the file name used in reported problems
   * @param text the INI text
   * @param declared the settings that the file may contain; those without a default are required
   * @param rules the rules checked once each single value is valid
   * @return the settings, or all problems found
   */
  public static SettingsResult parse(
      String file, String text, Collection<Setting<?>> declared, Collection<SettingRule> rules) {
    return switch (IniDocument.parse(file, text)) {
      case IniResult.Malformed malformed ->
          new SettingsResult.Rejected(List.of(malformed.problem()));
      case IniResult.Parsed parsed -> validate(file, parsed.document(), declared, rules);
    };
  }

  private static SettingsResult validate(
      String file,
      IniDocument document,
      Collection<Setting<?>> declared,
      Collection<SettingRule> rules) {
    List<SettingProblem> problems = new ArrayList<>(findUnknownKeys(file, document, declared));
    Map<Setting<?>, Object> values = new HashMap<>();
    for (Setting<?> setting : declared) {
      Optional<String> text =
          document.value(setting.section(), setting.key()).or(setting::defaultText);
      Optional<?> value = text.flatMap(t -> setting.parser().parse(t));
      value.ifPresentOrElse(
          v -> values.put(setting, v),
          () ->
              problems.add(
                  new SettingProblem(
                      file,
                      setting.section(),
                      setting.key(),
                      text.map(t -> "\"" + t + "\"").orElse("nothing"),
                      setting.expected())));
    }
    if (problems.isEmpty()) {
      Settings settings = new Settings(file, values);
      rules.forEach(rule -> rule.check(settings).ifPresent(problems::add));
      if (problems.isEmpty()) {
        return new SettingsResult.Loaded(settings);
      }
    }
    return new SettingsResult.Rejected(List.copyOf(problems));
  }

  private static List<SettingProblem> findUnknownKeys(
      String file, IniDocument document, Collection<Setting<?>> declared) {
    List<SettingProblem> problems = new ArrayList<>();
    document
        .sections()
        .forEach(
            (section, values) -> {
              List<String> keys =
                  declared.stream()
                      .filter(s -> s.section().equals(section))
                      .map(Setting::key)
                      .sorted()
                      .toList();
              if (keys.isEmpty()) {
                List<String> known =
                    declared.stream().map(Setting::section).distinct().sorted().toList();
                problems.add(
                    new SettingProblem(
                        file,
                        section,
                        "",
                        "an unknown section",
                        "one of " + String.join(", ", known)));
                return;
              }
              for (String key : values.keySet()) {
                if (!keys.contains(key)) {
                  problems.add(
                      new SettingProblem(
                          file,
                          section,
                          key,
                          "an unknown key",
                          "one of " + String.join(", ", keys)));
                }
              }
            });
    return problems;
  }
}
