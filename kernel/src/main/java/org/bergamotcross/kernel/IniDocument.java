package org.bergamotcross.kernel;

import java.io.IOException;
import java.io.StringReader;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.apache.commons.configuration2.tree.NodeHandler;

/**
 * INI text as sections of keys and values, in the order of the text.
 *
 * @param sections the values by section and key; keys before the first section are under ""
 */
public record IniDocument(Map<String, Map<String, String>> sections) {

  /**
   * Parses INI text. Comments start with {@code #} or {@code ;} at the start of a line.
   *
   * @param file the name used in problems
   * @param text the text
   * @return the document, or the problem that makes it unreadable
   */
  public static IniResult parse(String file, String text) {
    INIConfiguration ini = new INIConfiguration();
    ini.setCommentLeadingCharsUsedInInput("#;");
    try {
      ini.read(new StringReader(text));
    } catch (ConfigurationException | IOException e) {
      return malformedResult(
          file,
          "",
          "",
          "text that is not INI (" + e.getMessage() + ")",
          "lines of [section] and key = value");
    }
    Map<String, Map<String, String>> sections = new LinkedHashMap<>();
    NodeHandler<ImmutableNode> handler = ini.getNodeModel().getNodeHandler();
    for (ImmutableNode node : handler.getRootNode().getChildren()) {
      boolean isSection = !node.getChildren().isEmpty() || node.getValue() == null;
      String section = isSection ? node.getNodeName() : "";
      Map<String, String> values = sections.computeIfAbsent(section, s -> new LinkedHashMap<>());
      Iterable<ImmutableNode> entries = isSection ? node.getChildren() : java.util.List.of(node);
      for (ImmutableNode entry : entries) {
        String value = String.valueOf(entry.getValue()).strip();
        if (values.put(entry.getNodeName(), value) != null) {
          return malformedResult(
              file, section, entry.getNodeName(), "the key twice", "the key once");
        }
      }
    }
    return new IniResult.Parsed(new IniDocument(Collections.unmodifiableMap(sections)));
  }

  /**
   * Finds a value.
   *
   * @param section the section
   * @param key the key
   * @return the value without surrounding blanks
   */
  public Optional<String> value(String section, String key) {
    return Optional.ofNullable(sections.getOrDefault(section, Map.of()).get(key));
  }

  private static IniResult malformedResult(
      String file, String section, String key, String found, String expected) {
    return new IniResult.Malformed(new SettingProblem(file, section, key, found, expected));
  }
}
