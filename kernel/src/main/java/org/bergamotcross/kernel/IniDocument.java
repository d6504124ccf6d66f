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
 * Holds the sections, keys and values of an INI text in their original order.
 *
 * @param sections the values by section and key; keys before the first section are in section ""
 */
public record IniDocument(Map<String, Map<String, String>> sections) {

  /**
   * Parses INI text; a line that starts with {@code #} or {@code ;} is a comment.
   *
   * @param file the file name used in reported problems
   * @param text the INI text
   * @return the document, or the problem that prevents parsing
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
   * Looks up a value.
   *
   * @param section the section
   * @param key the key
   * @return the value without surrounding white space, or empty if the key is missing
   */
  public Optional<String> value(String section, String key) {
    return Optional.ofNullable(sections.getOrDefault(section, Map.of()).get(key));
  }

  private static IniResult malformedResult(
      String file, String section, String key, String found, String expected) {
    return new IniResult.Malformed(new SettingProblem(file, section, key, found, expected));
  }
}
